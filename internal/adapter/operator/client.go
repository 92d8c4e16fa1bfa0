// Package operator carries operators' actions to daemons over HTTP.
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
	// callTimeout leaves one second of the 3 s in which a withdrawn key must
	// stop working for spreading the withdrawal.
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	// statusTimeout is longer, because a status at the target lists 150,000
	// upstreams.
	statusTimeout = 20 * time.Second
	// maxStatusBytes holds 150,000 upstreams of 300 bytes each.
	maxStatusBytes = 64 << 20
	// maxConfirmationBytes bounds the answer to an action.
	maxConfirmationBytes = 64 << 10
)

// Outcome is the result of a call to a daemon.
type Outcome int

// Outcomes of a call.
const (
	// Unreachable means that the daemon did not receive the call.
	Unreachable Outcome = iota
	// Confirmed means that the daemon did what was asked.
	Confirmed
	// NotFound means that the daemon does not know the subject.
	NotFound
	// Refused means that the daemon did nothing; Detail says why.
	Refused
	// Ambiguous means that the daemon may have done what was asked.
	Ambiguous
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unreachable", "Confirmed", "NotFound", "Refused", "Ambiguous"}[o]
}

// Client calls daemons at their operator addresses. It is safe for concurrent
// use.
type Client struct {
	http     *http.Client
	operator string
}

// NewClient returns a client that acts for an operator, and a function that
// closes its connections.
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

// Status returns a daemon's view of the fleet.
func (c *Client) Status(ctx context.Context, daemon netip.AddrPort) (Status, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status Status
	outcome := c.call(ctx, http.MethodGet, daemon, "/Status", maxStatusBytes, &status)

	return status, outcome
}

// Upstreams returns the upstreams that a daemon owns, with their present load.
func (c *Client) Upstreams(ctx context.Context, daemon netip.AddrPort) ([]Upstream, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var upstreams []Upstream
	outcome := c.call(ctx, http.MethodGet, daemon, "/Upstreams", maxStatusBytes, &upstreams)

	return upstreams, outcome
}

// WithdrawKey withdraws the key with the SHA-256 hash in hex.
func (c *Client) WithdrawKey(ctx context.Context, daemon netip.AddrPort, hash string) (Confirmation, Outcome) {
	return c.act(ctx, daemon, "/Keys/"+url.PathEscape(hash)+"/Withdraw")
}

// Drain stops new requests to an upstream.
func (c *Client) Drain(ctx context.Context, daemon netip.AddrPort, upstream string) (Confirmation, Outcome) {
	return c.act(ctx, daemon, "/Upstreams/"+url.PathEscape(upstream)+"/Drain")
}

// Undrain ends a drain.
func (c *Client) Undrain(ctx context.Context, daemon netip.AddrPort, upstream string) (Confirmation, Outcome) {
	return c.act(ctx, daemon, "/Upstreams/"+url.PathEscape(upstream)+"/Undrain")
}

func (c *Client) act(ctx context.Context, daemon netip.AddrPort, path string) (Confirmation, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var confirmation Confirmation
	outcome := c.call(ctx, http.MethodPost, daemon, path, maxConfirmationBytes, &confirmation)

	return confirmation, outcome
}

// call decodes the answer's body where there is one, also from refusals.
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
