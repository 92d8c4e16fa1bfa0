package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// BenchmarkRun measures one attempt with a small answer over loopback TCP,
// with both daemons in this process. Run it with -cpu 1,4,8 -benchmem.
func BenchmarkRun(b *testing.B) {
	payload := bytes.Repeat([]byte("x"), 512)
	client, server, _ := newPair(b, nil, DefaultTiming(), func(context.Context, fleet.Attempt) fleet.Reply {
		return fleet.Reply{Outcome: fleet.Ran, Load: fleet.Load{Slots: 3, State: fleet.Ready}, Answer: fleet.Answer{
			Status: 200,
			Header: http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"512"}},
			Body:   io.NopCloser(bytes.NewReader(payload)),
		}}
	})
	attempt := fleet.Attempt{
		ID: fleet.AttemptID{Ingress: "A", Incarnation: 5, Sequence: 1}, Service: "Calendar", Route: "CalendarRead",
		Upstream: "calendar-1", ClientAccount: "ClubMiraflores", Weight: 1, Idempotent: true, DeadlineRemaining: time.Second,
		Request: fleet.Request{
			Method: "GET", Host: "estanques.example", Target: "/calendar/today",
			Header: http.Header{"Accept": {"*/*"}, "User-Agent": {"bench"}, "Accept-Encoding": {"gzip"}},
		},
	}
	one := func(buffer []byte) {
		reply := client.Run(context.Background(), "B", attempt)
		if reply.Outcome != fleet.Ran {
			b.Errorf("got %v %s", reply.Outcome, reply.Detail)

			return
		}
		for {
			if _, err := reply.Answer.Body.Read(buffer); err != nil {
				break
			}
		}
		_ = reply.Answer.Body.Close()
	}
	one(make([]byte, 1024))
	arrived := func() uint64 {
		return client.link("B").session.conn.arrived.Load() + server.accepted[acceptedKey{"A", 5, false}].conn.arrived.Load()
	}
	before := arrived()
	var mu sync.Mutex
	total := hdrhistogram.New(1, int64(10*time.Second), 3)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		buffer := make([]byte, 1024)
		local := hdrhistogram.New(1, int64(10*time.Second), 3)
		for pb.Next() {
			start := time.Now()
			one(buffer)
			_ = local.RecordValue(int64(time.Since(start)))
		}
		mu.Lock()
		defer mu.Unlock()
		total.Merge(local)
	})
	b.StopTimer()
	b.ReportMetric(float64(arrived()-before)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(total.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(total.ValueAtQuantile(99)), "p99-ns")
}

// BenchmarkSession measures what one more idle session costs both ends
// together: time and bytes to open it, and memory while it is open.
func BenchmarkSession(b *testing.B) {
	directory := &book{addresses: map[string]netip.AddrPort{}}
	timing := DefaultTiming()
	newDaemon(b, directory, "B", 7, nil, timing, &recorder{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	memory := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)

		return float64(stats.HeapAlloc + stats.StackInuse)
	}
	probe := &peerpb.Frame{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}}
	clients := make([]*Network, b.N)
	for i := range clients {
		clients[i], _ = New(listener, Identity{Name: fmt.Sprint("A", i), Incarnation: 1}, nil, timing)
		clients[i].directory = directory
	}
	before := memory()
	b.ResetTimer()
	for _, client := range clients {
		if _, ok := client.Call(context.Background(), "B", probe); !ok {
			b.Fatal("no answer")
		}
	}
	b.StopTimer()
	b.ReportMetric((memory()-before)/float64(b.N), "mem-B/session")
	for _, client := range clients {
		client.closeSessions()
	}
}
