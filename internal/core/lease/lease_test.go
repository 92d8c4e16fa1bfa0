package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/virtual"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260117", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epochStart = time.Unix(1_000_000, 0)

// world runs voters and candidates in virtual real time; each node has a clock
// with its own rate.
type world struct {
	virtual.Loop
	nodes  []*node
	object *peerpb.Seats
	// hint is what the holder's lease entry says about the seats.
	hint     *peerpb.Seats
	interval time.Duration
	storeOff bool
	random   *rand.Rand
	loss     float64
	slow     float64
	cut      map[[2]string]bool
	holders  func(holders []string)
	tenures  int
	lastEnd  time.Duration
	gap      time.Duration
}

type node struct {
	w         *world
	member    Member
	rate      float64
	voter     *Voter
	candidate *Candidate
	dead      bool
	paused    time.Duration
	waiting   []func()
	readAt    time.Duration
}

func (w *world) after(d time.Duration, do func()) {
	w.After(d, func() {
		do()
		w.check()
	})
}

func (w *world) check() {
	var holders []string
	for _, n := range w.nodes {
		if !n.dead && n.candidate.Held(n.clock()) {
			holders = append(holders, fmt.Sprintf("%s/%d", n.member.Name, n.member.Incarnation))
		}
	}
	if len(holders) > 0 {
		w.gap = max(w.gap, w.Now-w.lastEnd)
		w.lastEnd = w.Now
	}
	w.holders(holders)
}

func (n *node) clock() time.Time {
	return epochStart.Add(time.Duration(float64(n.w.Now) * n.rate))
}

func (w *world) add(i int, incarnation uint64, rate float64) *node {
	n := &node{w: w, rate: rate, member: Member{
		Name: fmt.Sprintf("daemon%d", i), AvailabilityZone: fmt.Sprintf("zone%d", i%3), Incarnation: incarnation,
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
	}, readAt: -time.Hour}
	n.voter = NewVoter(1, n.member, n.clock())
	n.candidate = NewCandidate(1, Daemon{n.member.Name, incarnation}, rand.New(rand.NewPCG(uint64(i), incarnation)))
	w.nodes = append(w.nodes, n)
	w.after(0, n.tick)

	return n
}

func (n *node) number() int { return int(n.member.PeerAddress.Addr().As4()[3]) }

func (w *world) named(name string) *node {
	for _, n := range w.nodes {
		if n.member.Name == name && !n.dead {
			return n
		}
	}

	return nil
}

// do runs f on the node now, or when its pause ends.
func (n *node) do(f func()) {
	switch {
	case n.dead:
	case n.w.Now < n.paused:
		n.waiting = append(n.waiting, f)
	default:
		f()
	}
}

func (n *node) pause(d time.Duration) {
	n.paused = n.w.Now + d
	n.w.after(d, func() {
		waiting := n.waiting
		n.waiting = nil
		for _, f := range waiting {
			n.do(f)
		}
	})
}

// deliver carries a message one way, unless it is lost.
func (w *world) deliver(from, to string, f func(n *node)) {
	for range 1 + w.random.IntN(8)/7 {
		delay := time.Duration(w.random.Int64N(int64(3 * time.Millisecond)))
		if w.random.Float64() < w.slow {
			delay = time.Duration(w.random.Int64N(int64(5 * time.Second)))
		}
		if from != to && (w.cut[[2]string{from, to}] || w.random.Float64() < w.loss) {
			continue
		}
		w.after(delay, func() {
			if n := w.named(to); n != nil {
				n.do(func() { f(n) })
			}
		})
	}
}

func (n *node) tick() {
	n.do(func() {
		now := n.clock()
		if sent := now; !n.w.storeOff && n.w.object != nil && (n.w.Now-n.readAt > time.Minute || !n.voter.Active(now)) {
			n.readAt = n.w.Now
			object := n.w.object
			n.w.after(time.Millisecond, func() { n.do(func() { n.voter.Read(n.clock(), sent, object) }) })
		}
		if n.voter.Seats() == nil {
			n.voter.Observe(now, n.w.hint)
		}
		n.candidate.Observe(n.voter.Seats())
		if n.candidate.Held(now) {
			n.w.hint = n.voter.Seats()
		}
		me := n.member.Name
		for _, q := range n.voter.Queries(now) {
			n.w.deliver(me, q.To, func(to *node) {
				result := to.voter.Acknowledge(to.clock(), q.Message)
				n.w.deliver(q.To, me, func(back *node) {
					if back == n {
						n.voter.Answer(n.clock(), now, q.To, result)
					}
				})
			})
		}
		promised, until := n.voter.Promised(now)
		free := !until || promised.Name == me && promised.Incarnation == n.member.Incarnation
		if n.candidate.Held(now) || n.voter.Active(now) {
			for _, b := range n.candidate.Ballots(now, 0, free) {
				n.w.deliver(me, b.To, func(to *node) {
					result := to.voter.Promise(to.clock(), b.Message)
					n.w.deliver(b.To, me, func(back *node) {
						if back == n && n.candidate.Answer(n.clock(), now, b.To, b.Message, result) {
							n.w.tenures++
						}
					})
				})
			}
		}
	})
	if !n.dead {
		n.w.after(n.w.interval, n.tick)
	}
}

func (w *world) replan() {
	var live []Member
	for _, n := range w.nodes {
		if !n.dead {
			live = append(live, n.member)
		}
	}
	if next := Plan(1, w.object, live); next != nil && !w.storeOff {
		w.object = next
		for _, n := range w.nodes {
			n.readAt = -time.Hour
		}
	}
}

func newWorld(seed uint64, nodes int, holders func([]string)) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, holders: holders, interval: 50 * time.Millisecond}
	for i := range nodes {
		w.add(i+1, 1, 1)
	}
	w.replan()

	return w
}

// Guards against two holders at once in real time under any mix of faults.
func TestAtMostOneHolder(t *testing.T) {
	t.Parallel()
	tenures := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "nodes"), func(holders []string) {
			if len(holders) > 1 {
				t.Fatalf("got holders %v at once, want at most one", holders)
			}
		})
		for _, n := range w.nodes {
			n.rate = rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "rate")
		}
		w.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.4}).Draw(t, "loss")
		w.slow = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow")
		incarnation, names := uint64(1), len(w.nodes)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			w.Run(w.Now + time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait"))*time.Millisecond)
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			n, other := w.nodes[i], w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				n.pause(time.Duration(rapid.IntRange(1, 8000).Draw(t, "pause")) * time.Millisecond)
			case 1, 2: // restart in place
				if n.dead {
					continue
				}
				n.dead = true
				incarnation++
				w.add(n.number(), incarnation, n.rate)
			case 3: // replaced instance
				n.dead = true
				names++
				incarnation++
				w.add(names, incarnation, n.rate)
				w.replan()
			case 4:
				w.cut[[2]string{n.member.Name, other.member.Name}] = true
			case 5:
				clear(w.cut)
			case 6:
				w.storeOff = !w.storeOff
			case 7:
				n.candidate.End(n.clock(), 500*time.Millisecond)
			case 8, 9: // the holder pauses past its lease while others restart in place
				restart := rapid.Bool().Draw(t, "restart")
				for _, h := range w.nodes {
					if held := h.candidate.Held(h.clock()); !h.dead && held {
						h.pause(5 * time.Second)
					} else if !h.dead && restart {
						h.dead = true
						incarnation++
						w.add(h.number(), incarnation, h.rate)
					}
				}
			}
		}
		tenures += w.tenures
	})
	if tenures < 100 {
		t.Errorf("got %d tenures over all cases, want at least 100 to make the property count", tenures)
	}
}

// Guards against a group that stays without a holder longer than its fault
// explains (Duration with margin plus 1 s), or that grants when it must not.
func TestFaults(t *testing.T) {
	t.Parallel()
	kill := func(w *world, count int) {
		for range count {
			var victim *node
			for _, n := range w.nodes {
				if !n.dead && find(w.object.GetSeats(), n.member.Name) != nil && (victim == nil || n.candidate.Held(n.clock())) {
					victim = n
				}
			}
			victim.dead = true
		}
	}
	restart := func(w *world, count int) {
		for _, s := range w.object.GetSeats()[:count] {
			n := w.named(s.GetName())
			n.dead = true
			w.add(n.number(), 9, 1)
		}
	}
	failover := Margin(Duration) + time.Second
	for _, test := range []struct {
		name   string
		nodes  int
		fault  func(w *world)
		run    time.Duration
		gap    time.Duration
		nobody bool
	}{
		{name: "fleet of one", nodes: 1, fault: func(*world) {}},
		{name: "store away for an hour", nodes: 7, fault: func(w *world) { w.storeOff = true }, run: time.Hour},
		{name: "store away longer than the grace", nodes: 7, fault: func(w *world) { w.storeOff = true }, run: Grace + 20*time.Minute, nobody: true},
		{name: "store away and granter killed", nodes: 7, fault: func(w *world) { w.storeOff = true; kill(w, 1) }, gap: failover},
		{name: "store away and every seat but one restarted in turn", nodes: 5, gap: failover, run: 2 * time.Minute, fault: func(w *world) {
			w.storeOff = true
			for i := range 4 {
				w.after(time.Duration(i)*20*time.Second, func() {
					n := w.named(w.object.GetSeats()[i].GetName())
					n.dead = true
					w.add(n.number(), 9, 1)
				})
			}
		}},
		{name: "two of five seats killed", nodes: 5, fault: func(w *world) { kill(w, 2) }, gap: failover},
		{name: "seat replaced", nodes: 7, run: time.Minute, fault: func(w *world) {
			for _, n := range w.nodes {
				if find(w.object.GetSeats(), n.member.Name) != nil && !n.candidate.Held(n.clock()) {
					n.dead = true

					break
				}
			}
			w.replan()
		}},
		{name: "granter released", nodes: 5, gap: time.Second, fault: func(w *world) {
			for _, n := range w.nodes {
				if n.candidate.Held(n.clock()) {
					n.candidate.End(n.clock(), 100*time.Millisecond)
				}
			}
		}},
		{name: "all seats restarted at once", nodes: 3, fault: func(w *world) { restart(w, 3) }, gap: 2 * failover},
		{name: "three of five seats lost", nodes: 7, fault: func(w *world) { kill(w, 3); w.replan() }, run: Grace, nobody: true},
		{name: "three of five seats lost and the grace waited out", nodes: 7, fault: func(w *world) { kill(w, 3); w.replan() }, run: Margin(Grace) + time.Minute, gap: Margin(Grace) + 10*time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			count := 0
			w := newWorld(7, test.nodes, func(holders []string) {
				if count = len(holders); count > 1 {
					t.Errorf("got holders %v, want at most one", holders)
				}
			})
			w.Run(10 * time.Second)
			if count != 1 {
				t.Fatalf("got %d holders before the fault, want 1", count)
			}
			w.gap = 0
			test.fault(w)
			if test.run > time.Hour {
				w.interval = 500 * time.Millisecond
			}
			w.Run(w.Now + max(test.run, 30*time.Second))
			if want := map[bool]int{false: 1, true: 0}[test.nobody]; count != want {
				t.Errorf("got %d holders at the end, want %d", count, want)
			}
			if want := test.gap + 50*time.Millisecond; !test.nobody && w.gap > want {
				t.Errorf("got %v without a holder, want at most %v", w.gap, want)
			}
		})
	}
}
