package arbiter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// net is a fleet of arbiters in one process. It implements all ports; every
// daemon owns the upstream of the same number.
type net struct {
	mutex   sync.Mutex
	size    int
	daemons map[string]*Arbiter
	entries map[string]fleet.Entry
	waiting []chan fleet.Entry
	holder  string
	term    uint64
	hanging bool
	audits  []string
	// audit blocks Record until it is closed.
	audit chan struct{}
}

// port is the net as one daemon sees it.
type port struct {
	*net
	name string
}

const service = "Calendar"

func newNet(t *testing.T, size int) *net {
	t.Helper()
	n := &net{size: size, daemons: map[string]*Arbiter{}, entries: map[string]fleet.Entry{}, audit: make(chan struct{})}
	close(n.audit)
	for i := range size {
		p := port{n, fmt.Sprint("d", i)}
		a, stop := New(Options{Name: p.name, AvailabilityZone: fmt.Sprint("z", i%4), Groups: 16},
			Ports{Peers: p, Leases: p, Entries: p, Announced: p, Services: p, Audit: p})
		n.set(func() { n.daemons[p.name] = a })
		t.Cleanup(stop)
	}

	return n
}

func (n *net) set(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

func (n *net) lease(holder string) {
	n.set(func() {
		n.holder = holder
		n.term += 7
	})
}

func (p port) Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	p.mutex.Lock()
	a, hanging := p.daemons[daemon], p.hanging
	p.mutex.Unlock()
	if hanging {
		<-ctx.Done()

		return nil, false
	}
	response := a.Handle(ctx, p.name, frame)

	return response, true
}

func (p port) Held(group int, _ time.Time) bool {
	holder, _ := p.Holder(group)

	return holder == p.name
}

func (p port) Holder(int) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.holder, p.holder != ""
}

func (p port) Publish(entry fleet.Entry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if old, ok := p.entries[entry.Key]; ok && !entry.Newer(old) {
		return
	}
	p.entries[entry.Key] = entry
	for _, w := range p.waiting {
		select {
		case w <- entry:
		default:
		}
	}
}

func (p port) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	p.mutex.Lock()
	var all []fleet.Entry
	for _, entry := range p.entries {
		all = append(all, entry)
	}
	holder, term := p.holder, p.term
	p.mutex.Unlock()
	if kind == fleet.KindLease {
		for group := range 16 {
			value, _ := proto.Marshal(&peerpb.Lease{Group: uint32(group), Holder: holder, Term: term})
			visit(fleet.Entry{Kind: kind, Value: value})
		}

		return
	}
	for _, entry := range all {
		visit(entry)
	}
}

func (p port) Subscribe(fleet.EntryKind) (<-chan fleet.Entry, func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w := make(chan fleet.Entry, 1)
	p.waiting = append(p.waiting, w)

	return w, func() {}
}

func (p port) Upstreams(string) (all []health.Upstream) {
	for i := range p.size {
		all = append(all, health.Upstream{
			Name: fmt.Sprint("u", i), Slots: 3, State: fleet.Ready, Alive: true,
			Daemon: fmt.Sprint("d", i), AvailabilityZone: fmt.Sprint("z", i%4),
		})
	}

	return all
}

func (p port) Services() []fleet.Service {
	return []fleet.Service{{Name: service, Floor: fleet.Floor{Percent: 60}, DetectionThreshold: 8}}
}

func (p port) Record(action, subject, _ string) {
	p.mutex.Lock()
	blocked := p.audit
	p.mutex.Unlock()
	<-blocked
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.audits = append(p.audits, action+" "+subject)
}

// serve observes the traffic of d in which one upstream fails.
func (n *net) serve(d time.Duration, failing int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range n.size {
			a := n.daemons[fmt.Sprint("d", i)]
			u := fmt.Sprint("u", i)
			if a.State(service, u, time.Now()).State != health.None {
				continue
			}
			for account := range 4 {
				o := fleet.Observation{
					Service: service, Upstream: u, ClientAccount: fmt.Sprint(account), State: fleet.Ready,
					Status: 200, Served: 25 * time.Millisecond,
				}
				if i == failing {
					o.Truncated = true
				}
				a.Observe(o)
				a.ObservePath(fleet.PathObservation{Service: service, Upstream: u, Reached: true})
			}
		}
		synctest.Wait()
	}
}

// states returns every daemon's state of one upstream.
func (n *net) states(upstream string) map[health.State]int {
	states := map[health.State]int{}
	for _, a := range n.daemons {
		states[a.State(service, upstream, time.Now()).State]++
	}

	return states
}

func TestEjectionReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	// Guards the way from an observation to every ingress, the lease's term as
	// incarnation, and decisions against an audit port that blocks.
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t, 6)
		blocked := make(chan struct{})
		n.set(func() { n.audit = blocked })
		n.lease("d2")
		n.serve(20*time.Second, -1)
		n.serve(2*time.Second, 0)
		if got := n.states("u0")[health.Ejected]; got != 6 {
			t.Errorf("daemons that know of the ejection: got %d, want 6", got)
		}
		got := n.daemons["d5"].State(service, "u0", time.Now())
		if want := (Decision{health.Ejected, health.ReasonFailures, "d2"}); got != want {
			t.Errorf("decision: got %v, want %v", got, want)
		}
		if got, want := n.entries["u0"].Incarnation, n.term; got != want {
			t.Errorf("incarnation: got %d, want the term %d", got, want)
		}
		close(blocked)
		synctest.Wait()
		if len(n.audits) != 1 || n.audits[0] != "Eject Calendar/u0" {
			t.Errorf("audit records: got %v, want one ejection", n.audits)
		}
		if len(n.entries) != 1 {
			t.Errorf("entries: got %d, want 1", len(n.entries))
		}
	})
}

func TestEjectionEndsWithoutArbiter(t *testing.T) {
	t.Parallel()
	// Guards against an ejection that outlives its arbiter by more than the TTL.
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t, 6)
		n.lease("d2")
		n.serve(20*time.Second, -1)
		n.serve(2*time.Second, 0)
		n.lease("")
		n.serve(time.Second, -1)
		if got := n.states("u0")[health.Ejected]; got != 6 {
			t.Fatalf("daemons that hold the ejection: got %d, want 6", got)
		}
		time.Sleep(health.EjectionTTL)
		if got := n.states("u0")[health.None]; got != 6 {
			t.Errorf("daemons on which the ejection ended: got %d, want 6", got)
		}
	})
}

func TestTakeover(t *testing.T) {
	t.Parallel()
	// Guards the floor against a successor that does not know of all ejections:
	// it keeps the known one and ejects nobody else within the TTL.
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t, 6)
		n.lease("d2")
		n.serve(20*time.Second, -1)
		n.serve(2*time.Second, 0)
		n.lease("d4")
		n.serve(2*time.Second, 1)
		if got := n.states("u0")[health.None]; got != 0 {
			t.Errorf("daemons that dropped the ejection: got %d, want 0", got)
		}
		n.serve(health.EjectionTTL-2*time.Second, 1)
		if got := n.states("u1")[health.None]; got != 6 {
			t.Errorf("daemons without a new ejection: got %d, want 6", got)
		}
		n.serve(5*time.Second, 1)
		if got := n.daemons["d0"].State(service, "u1", time.Now()); got.State != health.Ejected || got.Arbiter != "d4" {
			t.Errorf("decision after the wait: got %v, want ejected by d4", got)
		}
		if got, want := n.entries["u0"].Incarnation, n.term; got != want {
			t.Errorf("incarnation of the adopted ejection: got %d, want the term %d", got, want)
		}
	})
}

func TestHangingPeer(t *testing.T) {
	t.Parallel()
	// Guards the data path and the collector against an arbiter that does not
	// answer: frames are counted as lost and evidence flows again afterwards.
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t, 6)
		n.lease("d2")
		n.serve(15*time.Second, -1)
		n.set(func() { n.hanging = true })
		n.serve(3*time.Second, 0)
		lost := n.daemons["d0"].Losses().Reports.Load()
		// One report per 250 ms, of which all time out or find the call busy.
		if lost < 9 || lost > 12 {
			t.Errorf("lost reports: got %d, want 9 to 12", lost)
		}
		n.set(func() { n.hanging = false })
		n.serve(3*time.Second, 0)
		if got := n.states("u0")[health.Ejected]; got != 6 {
			t.Errorf("daemons that know of the ejection: got %d, want 6", got)
		}
	})
}

func TestFullQueues(t *testing.T) {
	t.Parallel()
	// Guards against a blocked data path or an unbounded queue: what does not
	// fit is counted.
	synctest.Test(t, func(t *testing.T) {
		p := port{&net{}, "d0"}
		a, stop := New(Options{Name: "d0", Groups: 16}, Ports{p, p, p, p, p, p})
		stop()
		for range observationQueue + 5 {
			a.Observe(fleet.Observation{})
			a.ObservePath(fleet.PathObservation{})
		}
		if got, want := a.Losses().Observations.Load(), int64(10); got != want {
			t.Errorf("lost observations: got %d, want %d", got, want)
		}
		for range auditQueue + 3 {
			a.audit(health.Decision{})
		}
		if got := a.Losses().Audits.Load(); got != 3 {
			t.Errorf("lost audit records: got %d, want 3", got)
		}
		frame := &peerpb.Frame{Body: &peerpb.Frame_Evidence{Evidence: &peerpb.Evidence{}}}
		accepted := 0
		for range inboxQueue + 5 {
			if a.Handle(t.Context(), "d1", frame).GetAcknowledged().GetAccepted() {
				accepted++
			}
		}
		if got := a.Losses().Frames.Load(); accepted != inboxQueue || got != 5 {
			t.Errorf("frames: got %d accepted and %d lost, want %d and 5", accepted, got, inboxQueue)
		}
	})
}

func TestForeignEvidence(t *testing.T) {
	t.Parallel()
	// Guards an upstream against evidence from a daemon that does not own it.
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t, 6)
		n.lease("d2")
		n.serve(15*time.Second, -1)
		m := message{counts: []health.Counts{{Service: service, Upstream: "u0", Requests: 50, Callers: 2}}}
		m.counts[0].Failures = 50
		m.counts[0].Accounts = []health.AccountCounts{{Account: 1, Requests: 25, Failures: 25}, {Account: 2, Requests: 25, Failures: 25}}
		frame := &peerpb.Frame{Body: &peerpb.Frame_Evidence{Evidence: formatEvidence(m)}}
		for _, tt := range []struct {
			from string
			want health.State
		}{{"d1", health.None}, {"d0", health.Ejected}} {
			n.daemons["d2"].Handle(t.Context(), tt.from, frame)
			time.Sleep(2 * health.ReportInterval)
			synctest.Wait()
			if got := n.daemons["d2"].State(service, "u0", time.Now()).State; got != tt.want {
				t.Errorf("state after evidence from %s: got %v, want %v", tt.from, got, tt.want)
			}
		}
	})
}

func TestMalformed(t *testing.T) {
	t.Parallel()
	// Guards the arbiter against frames and entries that a faulty daemon sends.
	counts := func(u *peerpb.UpstreamEvidence) *peerpb.Frame {
		return &peerpb.Frame{Body: &peerpb.Frame_Evidence{Evidence: &peerpb.Evidence{Upstreams: []*peerpb.UpstreamEvidence{u}}}}
	}
	account := func(requests, failures uint32) []*peerpb.AccountEvidence {
		return []*peerpb.AccountEvidence{{Requests: requests, Failures: failures}}
	}
	route := func(n uint32, sum, squares float32) []*peerpb.RouteEvidence {
		return []*peerpb.RouteEvidence{{Count: n, Sum: sum, SumSquares: squares}}
	}
	zero := float32(0)
	frames := map[string]*peerpb.Frame{
		"no body":              {},
		"other body":           {Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}},
		"too many requests":    counts(&peerpb.UpstreamEvidence{Requests: maxCount + 1}),
		"failures":             counts(&peerpb.UpstreamEvidence{Requests: 1, Failures: 2, Accounts: account(2, 2)}),
		"truncated":            counts(&peerpb.UpstreamEvidence{Requests: 1, Truncated: 1}),
		"callers":              counts(&peerpb.UpstreamEvidence{Requests: 1, Callers: 2}),
		"account's failures":   counts(&peerpb.UpstreamEvidence{Requests: 3, Failures: 3, Accounts: account(2, 3)}),
		"accounts do not add":  counts(&peerpb.UpstreamEvidence{Requests: 3, Failures: 3, Accounts: account(2, 2)}),
		"latency not a number": counts(&peerpb.UpstreamEvidence{Requests: 3, Routes: route(1, zero/zero, 1)}),
		"latency out of range": counts(&peerpb.UpstreamEvidence{Requests: 3, Routes: route(1, 31, 1)}),
		"squares":              counts(&peerpb.UpstreamEvidence{Requests: 3, Routes: route(1, 1, -1)}),
		"too many latencies":   counts(&peerpb.UpstreamEvidence{Requests: 3, Routes: route(4, 1, 1)}),
		"path count": {Body: &peerpb.Frame_Evidence{Evidence: &peerpb.Evidence{
			Paths: []*peerpb.PathEvidence{{Unreached: maxCount + 1}},
		}}},
	}
	for name, frame := range frames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := &Arbiter{inbox: make(chan message, 1)}
			if a.Handle(t.Context(), "d1", frame).GetError() == nil || a.losses.Malformed.Load() != 1 {
				t.Error("malformed frame: got acceptance, want an error frame and a count")
			}
		})
	}
	value := func(e *peerpb.Ejection) []byte {
		b, _ := proto.Marshal(e)

		return b
	}
	long := int64(time.Hour)
	v := newView()
	now := time.Unix(1_000_000, 0)
	for _, e := range []fleet.Entry{
		{Key: "u", Version: 1, Value: []byte{0xff}},
		{Key: "u", Version: 1, Value: value(&peerpb.Ejection{Upstream: "other", State: 1, ValidNanoseconds: long})},
		{Key: "u", Version: 1, Value: value(&peerpb.Ejection{Upstream: "u", State: 7, ValidNanoseconds: long})},
	} {
		if v.take(e, now) == nil {
			t.Errorf("malformed entry %x: got no error", e.Value)
		}
	}
	good := fleet.Entry{Key: "u", Version: 1, Value: value(&peerpb.Ejection{Service: service, Upstream: "u", State: 1, ValidNanoseconds: long})}
	for i := range 3 {
		_ = v.take(good, now.Add(time.Duration(i)*time.Second))
	}
	if got := v.state(service, "u", now.Add(health.EjectionTTL-1)).State; got != health.Ejected {
		t.Errorf("state within the TTL: got %v, want Ejected", got)
	}
	if got := v.state(service, "u", now.Add(health.EjectionTTL)).State; got != health.None {
		t.Errorf("state after the TTL since first receipt: got %v, want None", got)
	}
}
