package lease

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

func members(count int) []Member {
	out := make([]Member, count)
	for i := range out {
		out[i] = Member{
			Name: fmt.Sprintf("daemon%d", i), AvailabilityZone: fmt.Sprintf("zone%d", i), Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		}
	}

	return out
}

// elect makes daemon0 a candidate that three voters promised the lease at now,
// with answers that arrive after delay.
func elect(now time.Time, delay time.Duration) (*peerpb.Seats, []*Voter, *Candidate) {
	seats := Plan(0, nil, members(3))
	c := NewCandidate(0, Daemon{"daemon0", 1}, rand.New(rand.NewPCG(1, 1)))
	c.Observe(seats)
	voters := make([]*Voter, 3)
	for i, m := range members(3) {
		voters[i] = NewVoter(0, m, now.Add(-time.Minute))
		voters[i].Read(now, now, seats)
	}
	for _, b := range c.Ballots(now, 0, true) {
		c.Answer(now.Add(delay), now, b.To, b.Message, voters[b.To[len("daemon")]-'0'].Promise(now, b.Message))
	}

	return seats, voters, c
}

// Guards against a seat that is free while a holder with a slower clock still
// counts its promise.
func TestMarginCoversClockRates(t *testing.T) {
	t.Parallel()
	for _, holder := range []float64{0.95, 1, 1.05} {
		for _, seat := range []float64{0.95, 1, 1.05} {
			for _, delay := range []time.Duration{0, time.Second} {
				now := epochStart
				_, voters, c := elect(now, delay)
				last := time.Duration(0)
				for real := delay; real < 5*time.Second; real += time.Millisecond {
					if c.Held(now.Add(time.Duration(float64(real) * holder))) {
						last = real
					}
				}
				for _, v := range voters {
					if _, promised := v.Promised(now.Add(time.Duration(float64(last) * seat))); !promised {
						t.Errorf("holder at %v, seat at %v, answers after %v: got a free seat %v after the request while the lease was held", holder, seat, delay, last)
					}
				}
			}
		}
	}
}

// Guards against a candidate that counts a promise it has given back.
func TestReleasedPromiseDoesNotCount(t *testing.T) {
	t.Parallel()
	now := epochStart
	seats := Plan(0, nil, members(3))
	c := NewCandidate(0, Daemon{"daemon0", 1}, rand.New(rand.NewPCG(1, 1)))
	c.Observe(seats)
	ballots := c.Ballots(now, 0, true)
	later := now.Add(roundTimeout)
	for _, b := range c.Ballots(later, 0, true) {
		if !b.Message.GetRelease() {
			t.Fatalf("got %v after the round timed out, want a release", b.Message)
		}
	}
	for _, b := range ballots {
		c.Answer(later.Add(time.Second), now, b.To, b.Message, &peerpb.PromiseResult{Promised: true, Epoch: 1, Term: 1})
	}
	if c.Held(later.Add(time.Second)) {
		t.Error("got a lease from promises that were released before their answers arrived")
	}
}

// Guards against a candidate that keeps taking the free seats away from a
// holder that a majority has elected.
func TestBeatenCandidateLeavesFreeSeats(t *testing.T) {
	t.Parallel()
	now := epochStart
	seats, voters, _ := elect(now, 0)
	voters[2] = NewVoter(0, members(3)[2], now.Add(-time.Minute))
	voters[2].Read(now, now, seats)
	c := NewCandidate(0, Daemon{"daemon2", 1}, rand.New(rand.NewPCG(1, 1)))
	c.Observe(seats)
	for at := time.Duration(0); at < RenewInterval; at += 10 * time.Millisecond {
		for _, b := range c.Ballots(now.Add(at), 2, true) {
			if !b.Message.GetRelease() && at > 0 {
				t.Errorf("got a second round after %v, want none before the holder's renewal", at)
			}
			c.Answer(now.Add(at), now.Add(at), b.To, b.Message, voters[b.To[len("daemon")]-'0'].Promise(now.Add(at), b.Message))
		}
	}
}

// Guards against a new seat that counts an acknowledgement whose seat may have
// restarted, forgotten it and voted in the old epoch since.
func TestOldAcknowledgementDoesNotCount(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		apart  time.Duration
		active bool
	}{
		{name: "at once", apart: time.Second, active: true},
		{name: "apart by the lease", apart: Duration, active: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			now := epochStart
			seats, voters, _ := elect(now, 0)
			next := Plan(0, seats, append(members(4)[:2], members(4)[3]))
			if next.GetEpoch() != 2 || next.GetForced() {
				t.Fatalf("got plan %v, want an unforced epoch 2", next)
			}
			fresh := NewVoter(0, members(4)[3], now.Add(-time.Minute))
			fresh.Read(now, now, next)
			sent := now
			for _, v := range voters[:2] {
				for _, q := range fresh.Queries(sent) {
					if q.To == v.self.GetName() {
						fresh.Answer(sent, sent, q.To, v.Acknowledge(sent, &peerpb.SeatEpoch{Epoch: 2, Seats: next}))
					}
				}
				sent = sent.Add(test.apart)
			}
			if got := fresh.Active(sent); got != test.active {
				t.Errorf("got active %v, want %v", got, test.active)
			}
		})
	}
}

// Guards against a group that waits for the whole lease of a granter which left:
// its seat was replaced first, and the new seat took over its open promise.
func TestReleaseReachesNewSeats(t *testing.T) {
	t.Parallel()
	now := epochStart
	seats, voters, c := elect(now, 0)
	next := Plan(0, seats, members(4)[1:])
	fresh := NewVoter(0, members(4)[3], now.Add(-time.Minute))
	fresh.Read(now, now, next)
	for _, q := range fresh.Queries(now) {
		if number := int(q.To[len("daemon")] - '0'); number < len(voters) {
			fresh.Answer(now, now, q.To, voters[number].Acknowledge(now, &peerpb.SeatEpoch{Epoch: 2, Seats: next}))
		}
	}
	if holder, ok := fresh.Promised(now); !fresh.Active(now) || !ok || holder.Name != "daemon0" {
		t.Fatalf("got promise to %v, want the open promise to daemon0 taken over", holder)
	}
	c.Observe(next)
	c.End(now, time.Millisecond)
	for _, b := range c.Ballots(now.Add(time.Millisecond), 0, false) {
		if b.To == "daemon3" {
			fresh.Promise(now.Add(time.Millisecond), b.Message)
		}
	}
	if holder, ok := fresh.Promised(now.Add(time.Millisecond)); ok {
		t.Errorf("got a promise to %v after its release, want none", holder)
	}
}
