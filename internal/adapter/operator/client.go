// Package operator is the HTTP interface through which operators query and control
// daemons: the client, the daemon's endpoints and the JSON types of both.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// callTimeout limits a call other than Status. A withdrawn key must stop working
	// within 3 s, of which this leaves one second for spreading the withdrawal.
	callTimeout = 2 * time.Second
	// dialTimeout limits the time to open a connection, which counts toward the limit
	// of the call.
	dialTimeout = time.Second
	// statusTimeout is longer than callTimeout, because the status of a fleet of the
	// target size lists 150,000 upstreams.
	statusTimeout = 20 * time.Second
	// maxStatusBytes is enough for 150,000 upstreams of 300 bytes each.
	maxStatusBytes = 64 << 20
	// maxConfirmationBytes limits the response to an action.
	maxConfirmationBytes = 64 << 10
)

// Outcome is the result of a call to a daemon.
type Outcome int

// Outcomes of a call.
const (
	// Unreachable means that the daemon did not receive the call.
	Unreachable Outcome = iota
	// Confirmed means that the daemon carried out the call.
	Confirmed
	// NotFound means that the daemon does not know the subject of the call, such as the
	// upstream.
	NotFound
	// Refused means that the daemon did not carry out the call. Confirmation.Detail
	// has the reason.
	Refused
	// Ambiguous means that the daemon received the call and may have carried it out.
	Ambiguous
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unreachable", "Confirmed", "NotFound", "Refused", "Ambiguous"}[o]
}

// Client calls daemons at their operator addresses. It is safe for concurrent
// use.
type Client struct {
	http *http.Client
	// operator is the value of HeaderOperator.
	operator string
}

// NewClient returns a client that sends operator as the name of the operator, and a
// function that closes its idle connections.
func NewClient(operator string) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
	client := &Client{operator: operator, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}

	return client, transport.CloseIdleConnections
}

// Status returns a daemon's view of the fleet, which is valid only if the outcome is
// Confirmed. The call takes at most 20 s.
func (c *Client) Status(ctx context.Context, daemon netip.AddrPort) (Status, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status Status
	outcome := c.call(ctx, http.MethodGet, daemon, "/Status", maxStatusBytes, &status)

	return status, outcome
}

// Upstreams returns the upstreams that a daemon owns, with their current load. The
// result is valid only if the outcome is Confirmed. The call takes at most 2 s.
func (c *Client) Upstreams(ctx context.Context, daemon netip.AddrPort) ([]Upstream, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var upstreams []Upstream
	outcome := c.call(ctx, http.MethodGet, daemon, "/Upstreams", maxStatusBytes, &upstreams)

	return upstreams, outcome
}

// WithdrawKey withdraws the key whose SHA-256 hash, in lower-case hex, is hash.
func (c *Client) WithdrawKey(ctx context.Context, daemon netip.AddrPort, hash string) (Confirmation, Outcome) {
	return c.post(ctx, daemon, "/Keys/"+url.PathEscape(hash)+"/Withdraw")
}

// Drain makes a daemon stop new requests to an upstream.
func (c *Client) Drain(ctx context.Context, daemon netip.AddrPort, upstream string) (Confirmation, Outcome) {
	return c.post(ctx, daemon, "/Upstreams/"+url.PathEscape(upstream)+"/Drain")
}

// Undrain makes a daemon allow new requests to a drained upstream.
func (c *Client) Undrain(ctx context.Context, daemon netip.AddrPort, upstream string) (Confirmation, Outcome) {
	return c.post(ctx, daemon, "/Upstreams/"+url.PathEscape(upstream)+"/Undrain")
}

// post sends an action and returns the daemon's response. If the action was refused, the
// response contains the reason.
func (c *Client) post(ctx context.Context, daemon netip.AddrPort, path string) (Confirmation, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var confirmation Confirmation
	outcome := c.call(ctx, http.MethodPost, daemon, path, maxConfirmationBytes, &confirmation)

	return confirmation, outcome
}

// call sends a request and decodes the JSON body of the response, up to limit bytes, into
// answer. Responses other than 200 are decoded too, because their body has the reason.
func (c *Client) call(ctx context.Context, method string, daemon netip.AddrPort, path string, limit int64, answer any) Outcome {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", daemon, path), http.NoBody)
	if err != nil {
		return Refused
	}
	request.Header.Set(HeaderOperator, c.operator)
	response, err := c.http.Do(request)
	if err != nil {
		if connected.Load() {
			return Ambiguous
		}

		return Unreachable
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(answer)
	switch status := response.StatusCode; {
	case status == http.StatusOK && err == nil:
		return Confirmed
	case status == http.StatusNotFound:
		return NotFound
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable:
		return Refused
	}

	return Ambiguous
}
