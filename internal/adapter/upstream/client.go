// Package upstream is the HTTP client and the announcement endpoint for the
// daemon's local upstreams.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// dialTimeout limits the time to open a connection, which usually takes about
	// 1 ms.
	dialTimeout = time.Second
	// idleTimeout is how long a connection may be idle before it is closed, unless
	// the upstream states another time in its Keep-Alive header. It is below the
	// keep-alive time of common servers (60 s or more), so that a request is rarely
	// written to a connection that its upstream is about to close.
	idleTimeout = 30 * time.Second
	// maxIdleNonIdempotent is how long a connection may have been idle to be used for
	// a request that is not idempotent. Connections to a busy upstream stay below this
	// time, because they are used several times per second.
	maxIdleNonIdempotent = 2 * time.Second
	// keepAliveMargin is subtracted from the keep-alive time that an upstream states,
	// so that no request is sent at the moment when the upstream closes the
	// connection.
	keepAliveMargin = time.Second
	// maxIdleConnsPerUpstream limits the idle connections that are kept for one
	// upstream. It is enough for an upstream whose slots were all in use.
	maxIdleConnsPerUpstream = 64
	// maxHeadBytes limits the status line and the header of an answer, together with the
	// informational answers before it. A parsed header takes up to ten times as much
	// memory.
	maxHeadBytes = 64 << 10
	// maxDiscardBytes is how much of the body of an answer that is not forwarded is
	// read so that its connection can be reused. For a longer body the connection is
	// closed.
	maxDiscardBytes = 64 << 10
	// discardTimeout is how long such a body is waited for, as it holds up the result. It
	// usually arrives together with the head.
	discardTimeout = 50 * time.Millisecond
	// maxForeignAnswers is how many answers to other requests are received on a
	// connection before it is closed.
	maxForeignAnswers = 3
)

// Client sends requests to upstreams over reused connections. It never repeats a
// request. It is safe for concurrent use.
type Client struct {
	protocol Protocol
	pool     *pool
}

// NewClient returns a client, and a function that closes its idle connections and
// prevents further reuse.
func NewClient(protocol Protocol) (*Client, func()) {
	pool, cleanUp := newPool()

	return &Client{protocol: protocol, pool: pool}, cleanUp
}

// Call sends the attempt's request to the upstream and returns the head of the
// answer; the body is streamed. The context covers the call including the body: if
// it ends first, reading the body returns the context's error. With CallAnswered the
// caller must close the body. With CallShed and CallMisdirected the answer has only
// a status and a header, and with other results it is empty. CallNotSent means that
// no byte of the request left this process.
func (c *Client) Call(
	ctx context.Context, upstream fleet.Upstream, attempt fleet.Attempt,
) (fleet.Answer, fleet.CallResult) {
	message, ok := c.encode(ctx, upstream, attempt)
	if !ok || ctx.Err() != nil {
		return fleet.Answer{}, fleet.CallNotSent
	}
	conn := c.pool.get(ctx, upstream.Address, attempt.Idempotent)
	if conn == nil {
		return fleet.Answer{}, fleet.CallNotSent
	}
	x := &exchange{ctx: ctx, conn: conn, pool: c.pool}
	x.stopAbort = context.AfterFunc(ctx, conn.abort)
	if sent := x.send(message); !sent {
		x.closeConn()

		return fleet.Answer{}, fleet.CallNotSent
	}

	return x.receive(c.protocol, attempt)
}

// exchange is one request and its answer on a connection. It owns the connection
// until releaseConn or closeConn.
type exchange struct {
	ctx  context.Context //nolint:containedctx // the context of Call also covers the answer's body
	conn *conn
	pool *pool
	// stopAbort detaches the connection from ctx. It returns false if ctx has ended.
	stopAbort func() bool
	// writeDone is closed when the write of the request has succeeded or failed.
	writeDone chan struct{}
}

// asyncWriteBytes is the message size above which a request is written by a
// goroutine of its own, because the socket buffers may not accept all of it while
// the upstream does not read.
const asyncWriteBytes = 64 << 10

// send writes the request. It returns false if no byte of the request left this
// process. A message above asyncWriteBytes is written while the answer is read,
// because an upstream may answer before it has read the whole request.
func (x *exchange) send(message []byte) bool {
	x.writeDone = make(chan struct{})
	if len(message) > asyncWriteBytes {
		go func() {
			defer close(x.writeDone)
			if _, err := x.conn.Write(message); err != nil {
				x.conn.broken.Store(true)
			}
		}()

		return true
	}
	close(x.writeDone)
	n, err := x.conn.Write(message)
	if err != nil {
		x.conn.broken.Store(true)
	}

	return n > 0
}

// receive reads the head of the answer to the request. It skips answers to earlier
// requests.
func (x *exchange) receive(protocol Protocol, attempt fleet.Attempt) (fleet.Answer, fleet.CallResult) {
	for range maxForeignAnswers {
		response, err := x.conn.readHead(attempt.Request.Method) //nolint:bodyclose // the body ends with the exchange
		if err != nil {
			return fleet.Answer{}, x.failureResult()
		}
		result, identity := protocol.Classify(response.StatusCode, response.Header, attempt), protocol.Identify(response.Header)
		switch result {
		case fleet.CallAnswered:
			answer := x.newAnswer(response, identity != Unnamed)
			answer.Signals = protocol.Signals(response.Header)

			return answer, result
		case fleet.CallForeign:
			// The answer belongs to an earlier request. The answer to this request
			// may follow.
			if !x.discardBody(response) {
				x.closeConn()

				return fleet.Answer{}, result
			}
		case fleet.CallShed, fleet.CallMisdirected:
			if identity == Unnamed && attempt.RequestID != "" && x.conn.used {
				// It may belong to another request of this connection, and this one run.
				x.closeConn()

				return fleet.Answer{}, fleet.CallForeign
			}
			// A copy of a refusal that names no request would be taken for the answer to
			// the connection's next request.
			if identity == Identified && x.discardBody(response) {
				x.releaseConn()
			} else {
				x.closeConn()
			}
			removeHopByHop(response.Header)

			return fleet.Answer{
				Status: response.StatusCode, Header: response.Header, Signals: protocol.Signals(response.Header),
			}, result
		default:
			x.closeConn()

			return fleet.Answer{}, fleet.CallFailed
		}
	}
	x.closeConn()

	return fleet.Answer{}, fleet.CallForeign
}

// discardBody reads the answer's body, up to maxDiscardBytes and for discardTimeout, and
// reports whether the connection can be reused.
func (x *exchange) discardBody(response *http.Response) bool {
	if response.Close {
		return false
	}
	timer := time.AfterFunc(discardTimeout, x.conn.abort)
	defer timer.Stop()
	n, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes+1)

	return errors.Is(err, io.EOF) && n <= maxDiscardBytes && timer.Stop()
}

// failureResult closes the connection and returns the result for an answer whose head
// could not be read.
func (x *exchange) failureResult() fleet.CallResult {
	defer x.closeConn()
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return fleet.CallTimedOut
	}

	return fleet.CallFailed
}

// closeConn closes the connection, which ends a write in progress.
func (x *exchange) closeConn() {
	x.stopAbort()
	x.pool.closeConn(x.conn)
}

// releaseConn returns the connection to the pool, or closes it if it cannot be
// reused.
func (x *exchange) releaseConn() {
	select {
	case <-x.writeDone:
	default:
		// The upstream has not read all of the request.
		x.closeConn()

		return
	}
	if !x.stopAbort() {
		// The context has ended and is about to abort the connection.
		x.pool.closeConn(x.conn)

		return
	}
	x.pool.release(x.conn)
}

// newAnswer returns the answer with a streaming body, without hop-by-hop headers. Reusable is
// false if the connection must not carry another request.
func (x *exchange) newAnswer(response *http.Response, reusable bool) fleet.Answer {
	x.conn.applyKeepAlive(response.Header)
	body := &answerBody{exchange: x, body: response.Body, reusable: reusable && !response.Close}
	answer := fleet.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Trailer: func() http.Header {
			removeHopByHop(response.Trailer)

			return response.Trailer
		},
	}
	removeHopByHop(answer.Header)

	return answer
}

// answerBody is the body of an answer. It distinguishes a body that the upstream
// truncated from a body whose reading the context ended, and releases the connection
// at the end of the body. It is not safe for concurrent use.
type answerBody struct {
	exchange *exchange
	body     io.ReadCloser
	// reusable is false if the upstream closes the connection after this answer.
	reusable bool
	// ended is set when the connection has been released or closed.
	ended bool
}

// Read returns the context's error if the context has ended, and
// io.ErrUnexpectedEOF for any other failure before the end of the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.end(b.reusable)

		return n, io.EOF
	}
	ctxErr := b.exchange.ctx.Err()
	b.end(false)
	if ctxErr != nil {
		return n, ctxErr
	}

	return n, io.ErrUnexpectedEOF
}

// Close ends the call. If the body has not been read to its end, Close closes the
// connection, from which the upstream learns that the request is cancelled.
func (b *answerBody) Close() error {
	b.end(false)

	return nil
}

// end releases or closes the connection, once.
func (b *answerBody) end(reusable bool) {
	if b.ended {
		return
	}
	b.ended = true
	if reusable {
		b.exchange.releaseConn()
	} else {
		b.exchange.closeConn()
	}
}
