package platform

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// ServeInMemory serves a handler over in-memory connections, since the fake clock of
// testing/synctest cannot advance while a goroutine waits for a socket. It returns a
// function that dials the server and one that stops it.
func ServeInMemory(handler http.Handler) (func(ctx context.Context, network, address string) (net.Conn, error), func()) {
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
		// The server would log each connection that a lost answer aborts.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(listener) }()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		client, serverEnd := net.Pipe()
		select {
		case listener.connections <- serverEnd:
			return client, nil
		case <-listener.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}

	return dial, func() { _ = server.Close() }
}

// pipeListener is a net.Listener that accepts the server's ends of in-memory
// connections.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
