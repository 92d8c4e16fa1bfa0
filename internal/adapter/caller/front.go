// Package caller speaks HTTP to callers.
package caller

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxKeyBytes       = 256
	copyBuffer        = 32 << 10
)

// Forwarder runs requests. The caller of Forward closes the answer's body.
type Forwarder interface {
	Forward(ctx context.Context, request fleet.CallerRequest) fleet.Reply
}

// Limits limit what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Server accepts callers on one address, with HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	protocol  Protocol
	forwarder Forwarder
	bounds    Limits
	log       *slog.Logger
	metrics   *expvar.Map
	server    *http.Server
	listener  net.Listener
	address   netip.AddrPort
	draining  atomic.Bool
	idle      *idleConnections
}

// New returns a front that accepts callers on address once it is started, and
// speaks the given protocol with them. The clean-up function closes the listener
// and all connections; call Stop before it for a planned stop.
func New(
	address netip.AddrPort, protocol Protocol, forwarder Forwarder, bounds Limits, log *slog.Logger, metrics *expvar.Map,
) (*Server, func()) {
	f := &Server{
		address: address, protocol: protocol, forwarder: forwarder, bounds: bounds, log: log, metrics: metrics,
		idle: newIdleConnections(),
	}

	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = f.handleError
	router.Any("/*", f.handle)

	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	f.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    bounds.MaxHeaderBytes,
		Protocols:         protocols,
		ConnState:         f.idle.changed,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}

	return f, func() { _ = f.server.Close() }
}

// Listen opens the address that callers connect to.
func (f *Server) Listen() error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(f.address))
	if err != nil {
		return fmt.Errorf("listen for callers on %s: %w", f.address, err)
	}

	f.address = tcp.Addr().(*net.TCPAddr).AddrPort()
	f.listener = listener{tcp}

	return nil
}

// Serve accepts callers until Stop or the clean-up function is called. It returns an
// error if it ends before.
func (f *Server) Serve() error {
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("accept callers on %s: %w", f.address, err)
	}

	return nil
}

// Address returns the address that callers connect to.
func (f *Server) Address() netip.AddrPort {
	return f.address
}

// Drain goes on answering, and asks callers to close their connections, so that
// few are left when the listener closes.
func (f *Server) Drain() {
	f.draining.Store(true)
}

// AwaitIdle waits until no connection is idle, or until ctx ends. While the front
// drains, the next request on an idle connection is the last one there. It reports
// how many were left: a request that is sent on one of them while it is closed gets
// no answer.
func (f *Server) AwaitIdle(ctx context.Context) int {
	return f.idle.await(ctx)
}

// Stop refuses new connections and waits for requests in flight until ctx ends.
func (f *Server) Stop(ctx context.Context) {
	if err := f.server.Shutdown(ctx); err != nil {
		f.log.Warn("caller connections remained at shutdown", "error", err)
	}
}

func (f *Server) handle(c echo.Context) error {
	arrived := time.Now()
	r := c.Request()

	if f.draining.Load() {
		c.Response().Header().Set("Connection", "close")
	}

	terms, problem := f.protocol.Read(r.Header)

	request, refusal := f.read(c.Response(), r, terms, problem)
	if refusal.Reason != fleet.ReasonNone {
		f.metrics.Add("BadRequests", 1)

		return f.refuse(c, terms, refusal)
	}

	request.ReceivedAt = arrived
	if terms.Timeout > 0 {
		request.Deadline = arrived.Add(terms.Timeout)
	}

	reply := f.forwarder.Forward(r.Context(), request)
	if reply.Outcome != fleet.Ran {
		return f.refuse(c, terms, reply)
	}

	f.answer(c.Response(), reply)

	return nil
}

// read checks a request's form and reads its body.
func (f *Server) read(
	w http.ResponseWriter, r *http.Request, terms RequestOptions, problem string,
) (fleet.CallerRequest, fleet.Reply) {
	var request fleet.CallerRequest

	switch {
	case r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect:
		return request, fleet.Refuse(fleet.ReasonUpgrade, "connection upgrades are not supported")
	case problem != "":
		return request, fleet.Refuse(fleet.ReasonBadRequest, problem)
	case len(terms.Key) > maxKeyBytes:
		return request, fleet.Refuse(fleet.ReasonBadRequest, "the key is longer than 256 bytes")
	}

	body, refusal := f.readBody(w, r)
	if refusal.Reason != fleet.ReasonNone {
		return request, refusal
	}

	removeHopHeaders(r.Header)

	request.Key = terms.Key
	if terms.Key == "" || !strings.Contains(terms.ID, terms.Key) { // logs repeat the ID
		request.ID = terms.ID
	}

	request.Request = fleet.Request{
		Method: r.Method, Host: r.Host, Target: r.URL.RequestURI(), Header: r.Header, Body: body,
	}

	return request, fleet.Reply{}
}

func (f *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, fleet.Reply) {
	if r.Body == http.NoBody {
		return nil, fleet.Reply{}
	}

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.bounds.MaxBodyBytes))

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fleet.Refuse(fleet.ReasonTooLarge,
			"the body is larger than "+strconv.FormatInt(f.bounds.MaxBodyBytes, 10)+" bytes")
	}

	if err != nil {
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "the body ended early")
	}

	return body, fleet.Reply{}
}
