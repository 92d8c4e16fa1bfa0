package path

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCaller guards against counting refused requests as answered, and against opening a
// new connection for each request.
func TestCaller(t *testing.T) {
	t.Parallel()

	var requests, connected atomic.Int64

	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%4 == 0 || r.Header.Get("Authorization") != "Bearer key" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connected.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)

	one := newCaller(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), "key")
	t.Cleanup(one.close)

	total := newSample()
	for range 8 {
		total.add(time.Millisecond, one.do())
	}

	if total.failed != 2 || total.latency.TotalCount() != 8 {
		t.Errorf("got %d failed of %d, want 2 of 8", total.failed, total.latency.TotalCount())
	}

	if got := connected.Load(); got > 3 {
		t.Errorf("got %d connections, want at most 3", got)
	}
}
