// Package upstream speaks HTTP with the upstreams beside the daemon. It calls
// them and receives their announcements.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Headers between the daemon and its upstreams.
const (
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "Kumquatshelf-Deadline-Milliseconds"
	// HeaderShed marks a 503 of an upstream that did not run the request.
	HeaderShed = "Kumquatshelf-Shed"
)

const (
	// dialTimeout bounds a connection attempt; one takes about 1 ms.
	dialTimeout = time.Second
	// idleTimeout is how long a connection stays open without a request. It is
	// below the keep-alive time of common servers (60 s or more), so that a
	// request is rarely written to a connection that its upstream closes.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream covers an upstream with all its slots in use.
	maxIdlePerUpstream = 64
	// maxAnswerHeaderBytes bounds the head of an answer.
	maxAnswerHeaderBytes = 1 << 20
	// maxShedBytes is read of a shed answer to reuse its connection.
	maxShedBytes = 4 << 10
)

// Client calls upstreams over reused connections. It is safe for concurrent
// use. It never repeats a request.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial upstream: %w", err)
			}

			return &sealableConn{Conn: conn}, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}

	return &Client{transport: transport}, transport.CloseIdleConnections
}

// Call sends the attempt's request to the upstream and returns the answer's
// head; the body streams. The context bounds the call including the body; if
// it ends first, reading the body returns the context's error. Whoever
// receives an answer with CallAnswered closes its body. With CallShed the
// answer has a status and header only.
func (c *Client) Call(
	ctx context.Context, upstream fleet.Upstream, attempt fleet.Attempt,
) (fleet.Answer, fleet.CallResult) {
	var sent sendTracker
	request, err := newRequest(httptrace.WithClientTrace(ctx, sent.trace()), upstream, attempt)
	if err != nil {
		return fleet.Answer{}, fleet.CallNotSent
	}
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // the receiver of the answer closes it
	if err != nil {
		return fleet.Answer{}, failure(ctx, sent.seal())
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()

		return fleet.Answer{}, fleet.CallFailed
	}
	answer := fleet.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &answerBody{ctx: ctx, body: response.Body},
		Trailer: func() http.Header {
			removeHopByHop(response.Trailer)

			return response.Trailer
		},
	}
	removeHopByHop(answer.Header)
	if answer.Status == http.StatusServiceUnavailable && strings.EqualFold(answer.Header.Get(HeaderShed), "true") {
		_, _ = io.CopyN(io.Discard, response.Body, maxShedBytes)
		_ = response.Body.Close()
		answer.Body, answer.Trailer = nil, nil

		return answer, fleet.CallShed
	}

	return answer, fleet.CallAnswered
}

func failure(ctx context.Context, sent bool) fleet.CallResult {
	switch {
	case !sent:
		return fleet.CallNotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fleet.CallTimedOut
	}

	return fleet.CallFailed
}

func newRequest(ctx context.Context, upstream fleet.Upstream, attempt fleet.Attempt) (*http.Request, error) {
	from := attempt.Request
	if !strings.HasPrefix(from.Target, "/") {
		return nil, fmt.Errorf("target %q does not start with a slash", from.Target)
	}
	target, err := url.ParseRequestURI(from.Target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	target.Scheme, target.Host = "http", upstream.Address.String()
	request, err := http.NewRequestWithContext(ctx, from.Method, "/", nil)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	request.URL = target
	request.Host = from.Host
	request.Header = requestHeader(ctx, from.Header)
	setBody(request, from.Body)

	return request, nil
}

func requestHeader(ctx context.Context, from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = http.Header{}
	}
	removeHopByHop(header)
	// The body is complete, so there is nothing to wait for.
	header.Del("Expect")
	if _, found := header["User-Agent"]; !found {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	header.Del(HeaderDeadline)
	if deadline, found := ctx.Deadline(); found {
		left := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	preventRetryByKey(header)

	return header
}

// preventRetryByKey stores the two headers that mark a request as repeatable
// for net/http under names that it does not look up. Header names are
// case-insensitive on the wire.
func preventRetryByKey(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, found := header[name]; found {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// setBody sets a body that net/http cannot rewind, which keeps it from sending
// the request again when a reused connection turns out to be closed. Methods
// that it repeats without a body get an empty one that it sends as no body.
func setBody(request *http.Request, body []byte) {
	switch {
	case len(body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	case repeatable(request.Method):
		request.Body = io.NopCloser(strings.NewReader(""))
		// Without an encoding net/http would read the body on a goroutine of
		// its own, with a timer, to learn that it is empty.
		request.TransferEncoding = []string{"identity"}
	default:
		request.Body = http.NoBody
	}
}

func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}

	return false
}

// answerBody tells a body that was cut short from one that the caller's
// context ended.
type answerBody struct {
	ctx  context.Context
	body io.ReadCloser
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return n, err
	case b.ctx.Err() != nil:
		return n, b.ctx.Err()
	}

	return n, io.ErrUnexpectedEOF
}

func (b *answerBody) Close() error { return b.body.Close() }
