// Package caller is the HTTP server for callers.
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
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// readHeaderTimeout limits the time from the first byte of a request to the end of
	// its header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout limits how long a connection may stay open without a request.
	idleTimeout = 2 * time.Minute
	// maxKeyBytes limits the caller's key, which is part of the request header.
	maxKeyBytes = 256
	// copyBufferBytes is the most data of an answer that is forwarded in one write.
	copyBufferBytes = 32 << 10
)

// Forwarder forwards requests to upstreams. If the outcome is Ran, the caller of Forward
// must close the answer's body.
type Forwarder interface {
	Forward(ctx context.Context, request fleet.CallerRequest) fleet.Reply
}

// Limits limit what a caller may send.
type Limits struct {
	// MaxHeaderBytes limits the request line and the header, as in http.Server.
	MaxHeaderBytes int
	// MaxBodyBytes limits the request body, which is read completely before the request
	// is forwarded.
	MaxBodyBytes int64
}

// Server accepts callers on one address, with HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	protocol  Protocol
	forwarder Forwarder
	bounds    Limits
	log       *slog.Logger
	// metrics counts BadRequests and AnswersAborted.
	metrics *expvar.Map
	server  *http.Server
	// listener is nil before Listen.
	listener net.Listener
	// address is the configured address; Listen replaces port 0 by the actual port.
	address netip.AddrPort
	// draining is set by Drain, after which responses ask callers to disconnect.
	draining atomic.Bool
	idle     *idleConnections
}

// New returns a server for callers that connect to address and use the protocol. It
// accepts connections after Listen and Serve have been called. The clean-up function
// closes the listener and all connections at once; for a planned stop, call Stop
// before it.
func New(
	address netip.AddrPort, protocol Protocol, forwarder Forwarder, bounds Limits, log *slog.Logger, metrics *expvar.Map,
) (*Server, func()) {
	s := &Server{
		address: address, protocol: protocol, forwarder: forwarder, bounds: bounds, log: log, metrics: metrics,
		idle: newIdleConnections(),
	}

	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = s.handleError
	router.Any("/*", s.handle)

	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	s.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    bounds.MaxHeaderBytes,
		Protocols:         protocols,
		ConnState:         s.idle.connStateChanged,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}

	return s, func() { _ = s.server.Close() }
}

// Listen opens the listener. It returns an error if the address is not available.
func (s *Server) Listen() error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.address))
	if err != nil {
		return fmt.Errorf("listen for callers on %s: %w", s.address, err)
	}

	s.address = tcp.Addr().(*net.TCPAddr).AddrPort()
	s.listener = listener{tcp}

	return nil
}

// Serve accepts connections until Stop or the clean-up function is called, and then
// returns nil. It returns an error if the listener fails earlier. Listen must have been
// called.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("accept callers on %s: %w", s.address, err)
	}

	return nil
}

// Address returns the address that callers connect to. After Listen it has the actual
// port.
func (s *Server) Address() netip.AddrPort {
	return s.address
}

// Drain makes the server ask callers, with the header Connection: close, to close their
// connections, so that few connections are open when the listener closes. Requests are
// still served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// AwaitIdle waits until no connection is idle or ctx ends, and returns the number of
// connections that are still idle. After Drain, the next request on an idle connection
// is its last one. A request that is sent on an idle connection at the moment when the
// server closes it gets no response.
func (s *Server) AwaitIdle(ctx context.Context) int {
	return s.idle.wait(ctx)
}

// Stop closes the listener and the idle connections and waits for the requests in flight
// until ctx ends.
func (s *Server) Stop(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.Warn("caller connections still open at shutdown", "error", err)
	}
}

func (s *Server) handle(c echo.Context) error {
	arrived := time.Now()
	r := c.Request()

	if s.draining.Load() {
		c.Response().Header().Set("Connection", "close")
	}

	options, problem := s.protocol.Read(r.Header)

	request, refusal := s.readRequest(c.Response(), r, options, problem)
	if refusal.Reason != fleet.ReasonNone {
		s.metrics.Add("BadRequests", 1)

		return s.writeRefusal(c, options, refusal)
	}

	request.ReceivedAt = arrived
	if options.Timeout > 0 {
		request.Deadline = arrived.Add(options.Timeout)
	}

	reply := s.forwarder.Forward(r.Context(), request)
	if reply.Outcome != fleet.Ran {
		return s.writeRefusal(c, options, reply)
	}

	s.writeAnswer(c.Response(), reply)

	return nil
}

// readRequest validates a request and reads its body. The refusal has ReasonNone if the
// request is valid. Problem is the error text of Protocol.Read.
func (s *Server) readRequest(
	w http.ResponseWriter, r *http.Request, options RequestOptions, problem string,
) (fleet.CallerRequest, fleet.Reply) {
	var request fleet.CallerRequest

	switch {
	case r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect:
		return request, fleet.Refuse(fleet.ReasonUpgrade, "connection upgrades are not supported")
	case problem != "":
		return request, fleet.Refuse(fleet.ReasonBadRequest, problem)
	case len(options.Key) > maxKeyBytes:
		return request, fleet.Refuse(fleet.ReasonBadRequest, "the key is longer than 256 bytes")
	case !utf8.ValidString(options.ID) || !utf8.ValidString(r.URL.RequestURI()):
		return request, fleet.Refuse(fleet.ReasonBadRequest, "the request's ID or target is not UTF-8")
	case !utf8.ValidString(r.Header.Get(fleet.IdempotencyKeyHeader)):
		return request, fleet.Refuse(fleet.ReasonBadRequest, fleet.IdempotencyKeyHeader+" is not UTF-8")
	}

	body, refusal := s.readBody(w, r)
	if refusal.Reason != fleet.ReasonNone {
		return request, refusal
	}

	removeHopByHop(r.Header)

	request.Key = options.Key
	if options.Key == "" || !strings.Contains(options.ID, options.Key) { // the ID is logged, the key must not be
		request.ID = options.ID
	}

	request.Request = fleet.Request{
		Method: r.Method, Host: r.Host, Target: r.URL.RequestURI(), Header: r.Header, Body: body,
	}

	return request, fleet.Reply{}
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, fleet.Reply) {
	if r.Body == http.NoBody {
		return nil, fleet.Reply{}
	}

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.bounds.MaxBodyBytes))

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fleet.Refuse(fleet.ReasonTooLarge,
			"the body is larger than "+strconv.FormatInt(s.bounds.MaxBodyBytes, 10)+" bytes")
	}

	if err != nil {
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "the body ended early")
	}

	return body, fleet.Reply{}
}
