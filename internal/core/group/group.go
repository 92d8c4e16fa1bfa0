// Package group joins the parts that one daemon plays in one group of client
// accounts: seat, candidate, granter and holder. Messages and the current time
// go in, messages come out; callers hold one lock per Group.
package group

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// queryInterval is the pause between queries of a seat that is not active.
const queryInterval = 250 * time.Millisecond

// relayFor is how long requests for tokens go through a relay before the
// granter is tried directly again, which costs the wait of a failed call if the
// way is still cut.
const relayFor = 5 * time.Second

// Drain is how long a leaving granter still grants before it releases the
// lease. Grants made in it are cut to the time left, and grants made before it
// expire in it by any clock.
var Drain = lease.Margin(tokens.TTL)

// Message is a frame for another daemon, or for this one. Its answer is passed
// to Answer with the same Message.
type Message struct {
	To    string
	Frame *peerpb.Frame
	Sent  time.Time
}

// Group is one daemon's state in one group.
type Group struct {
	number    int
	self      lease.Member
	random    *rand.Rand
	voter     *lease.Voter
	candidate *lease.Candidate
	granter   *tokens.Granter
	holder    *tokens.Holder
	limits    tokens.Limits
	started   time.Time
	known     *peerpb.Lease
	// asked rotates over the seats while the known holder does not answer.
	asked     int
	searching bool
	// failed did not answer; what others say of it as holder is out of date.
	failed string
	// relay reached the granter when this daemon could not.
	relay      string
	relayUntil time.Time
	nextRead   time.Time
	misplaced  time.Time
	// missing says that the store has no seats object.
	missing   bool
	nextQuery time.Time
}

// New returns the state of a daemon that started at now.
func New(number int, self lease.Member, now time.Time, random *rand.Rand) *Group {
	return &Group{
		number: number, self: self, random: random, started: now, known: &peerpb.Lease{},
		voter:     lease.NewVoter(number, self, now),
		candidate: lease.NewCandidate(number, lease.Daemon{Name: self.Name, Incarnation: self.Incarnation}, random),
		holder:    tokens.NewHolder(number, self.Incarnation, tokens.LimitMap{}),
		limits:    tokens.LimitMap{},
	}
}

// Configure installs the limits of the group's client accounts.
func (g *Group) Configure(now time.Time, limits tokens.Limits) {
	g.limits = limits
	g.holder.Configure(limits)
	if g.granter != nil {
		g.granter.Configure(now, limits)
	}
}

// Held reports whether this daemon holds the group's lease.
func (g *Group) Held(now time.Time) bool { return g.candidate.Held(now) }

// Seats returns the seats object of the highest known epoch, or nil.
func (g *Group) Seats() *peerpb.Seats { return g.voter.Seats() }

// Seated reports whether this daemon has a seat, and whether it may vote.
func (g *Group) Seated(now time.Time) (seated, active bool) {
	return g.voter.Seated(), g.voter.Seated() && g.voter.Active(now)
}

// Lease returns the entry that tells others about the lease held by this daemon.
func (g *Group) Lease() *peerpb.Lease {
	return &peerpb.Lease{
		Group: uint32(g.number), Holder: g.self.Name, HolderIncarnation: g.self.Incarnation, //nolint:gosec // groups are small and not negative
		Epoch: g.Seats().GetEpoch(), Term: g.candidate.Term(), Seats: g.Seats(),
	}
}

// Learn takes over what an entry says about the lease.
func (g *Group) Learn(now time.Time, entry *peerpb.Lease) {
	if entry.GetEpoch() < g.known.GetEpoch() || entry.GetEpoch() == g.known.GetEpoch() && entry.GetTerm() <= g.known.GetTerm() {
		return
	}
	g.known, g.searching, g.relay = entry, false, ""
	if entry.GetHolder() != g.self.Name || entry.GetHolderIncarnation() != g.self.Incarnation {
		g.candidate.Know(now, entry.GetTerm())
	}
	g.voter.Observe(now, entry.GetSeats())
	g.candidate.Observe(g.voter.Seats())
}

// Holder returns the daemon that is believed to hold the lease, or "".
func (g *Group) Holder(now time.Time) string {
	if g.Held(now) {
		return g.self.Name
	}
	if promised, ok := g.voter.Promised(now); ok && promised.Name != "" && promised.Name != g.self.Name {
		return promised.Name
	}
	if g.known.GetHolder() == g.self.Name {
		return ""
	}

	return g.known.GetHolder()
}

// Messages returns what is due now for the lease.
func (g *Group) Messages(now time.Time) []Message {
	var out []Message
	if !now.Before(g.nextQuery) {
		g.nextQuery = now.Add(queryInterval)
		for _, q := range g.voter.Queries(now) {
			out = append(out, Message{To: q.To, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_SeatEpoch{SeatEpoch: q.Message}}})
		}
	}
	if !g.Held(now) {
		g.granter = nil
		// A leaving holder may have lost its seat already and still has to
		// release its lease.
		if !g.Ending() && (!g.voter.Seated() || !g.voter.Active(now)) {
			return out
		}
	}
	promised, ok := g.voter.Promised(now)
	free := !ok || promised == lease.Daemon{Name: g.self.Name, Incarnation: g.self.Incarnation}
	for _, b := range g.candidate.Ballots(now, g.rank(), free) {
		out = append(out, Message{To: b.To, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_PromiseRequest{PromiseRequest: b.Message}}})
	}

	return out
}

func (g *Group) rank() int {
	for i, s := range g.Seats().GetSeats() {
		if s.GetName() == g.self.Name {
			return i
		}
	}

	return len(g.Seats().GetSeats())
}

// TokenRequest returns the request for tokens that is due, or nil.
func (g *Group) TokenRequest(now time.Time) *Message {
	request := g.holder.Request(now)
	if request == nil {
		return nil
	}

	to := g.granterName(now)
	request.Relay = to != g.Holder(now)

	return &Message{To: to, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: request}}}
}

// granterName returns whom to ask for tokens: the believed holder, or while it
// does not answer the seats in turn, which tell whom they have promised or pass
// the request on.
func (g *Group) granterName(now time.Time) string {
	if g.relay != "" && !g.Held(now) {
		if now.Before(g.relayUntil) {
			return g.relay
		}
		g.relay, g.searching = "", false
	}
	if name := g.Holder(now); name != "" && (!g.searching || name == g.self.Name) {
		return name
	}
	seats := g.Seats().GetSeats()
	if len(seats) == 0 {
		return g.self.Name
	}
	g.asked++

	return seats[g.asked%len(seats)].GetName()
}

// Handle answers a frame of another daemon, or of this one.
func (g *Group) Handle(now time.Time, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_PromiseRequest:
		return &peerpb.Frame{Body: &peerpb.Frame_PromiseResult{PromiseResult: g.voter.Promise(now, body.PromiseRequest)}}, true
	case *peerpb.Frame_SeatEpoch:
		result := g.voter.Acknowledge(now, body.SeatEpoch)
		g.candidate.Observe(g.voter.Seats())

		return &peerpb.Frame{Body: &peerpb.Frame_SeatEpochResult{SeatEpochResult: result}}, true
	case *peerpb.Frame_TokenRequest:
		return &peerpb.Frame{Body: &peerpb.Frame_TokenResult{TokenResult: g.grant(now, from, body.TokenRequest)}}, true
	}

	return nil, false
}

func (g *Group) grant(now time.Time, from string, request *peerpb.TokenRequest) *peerpb.TokenResult {
	if !g.Held(now) || g.granter == nil {
		return &peerpb.TokenResult{Holder: g.Holder(now)}
	}

	if request.GetAsker() != "" {
		from = request.GetAsker()
	}

	return g.granter.Handle(now, from, request, g.candidate.Left(now))
}

// Answer takes the answer to a message, or nil if none came. It returns the
// waiters that it resolved.
func (g *Group) Answer(now time.Time, message Message, answer *peerpb.Frame) []*tokens.Waiter {
	switch body := message.Frame.GetBody().(type) {
	case *peerpb.Frame_PromiseRequest:
		if result := answer.GetPromiseResult(); result != nil && g.candidate.Answer(now, message.Sent, message.To, body.PromiseRequest, result) {
			g.granter = tokens.NewGranter(now, g.random.Uint64(), g.limits)
			g.searching = false
		}
	case *peerpb.Frame_SeatEpoch:
		if result := answer.GetSeatEpochResult(); result != nil {
			g.voter.Answer(now, message.Sent, message.To, result)
			g.candidate.Observe(g.voter.Seats())
		}
	case *peerpb.Frame_TokenRequest:
		return g.answerTokens(now, message.To, body.TokenRequest, answer.GetTokenResult())
	}

	return nil
}

// answerTokens takes the answer to a request for tokens, or nil if none came.
func (g *Group) answerTokens(now time.Time, from string, request *peerpb.TokenRequest, result *peerpb.TokenResult) []*tokens.Waiter {
	if result.GetGranter() && result.GetHolder() != "" && result.GetHolder() != from {
		if g.relay == "" {
			g.relay, g.relayUntil = from, now.Add(relayFor)
		}

		return g.holder.Answer(now, request, result)
	}
	if result.GetGranter() {
		if g.searching || g.Holder(now) == "" {
			g.known = &peerpb.Lease{Group: g.known.GetGroup(), Holder: from, Epoch: g.known.GetEpoch(), Term: g.known.GetTerm(), Seats: g.known.GetSeats()}
		}
		g.searching, g.failed, g.relay = false, "", ""

		return g.holder.Answer(now, request, result)
	}
	g.holder.Fail(now, request)
	g.searching, g.relay = true, ""
	if result == nil {
		g.failed = from
	}
	if name := result.GetHolder(); name != "" && name != from && name != g.self.Name && name != g.failed {
		g.known = &peerpb.Lease{Group: g.known.GetGroup(), Holder: name, Epoch: g.known.GetEpoch(), Term: g.known.GetTerm(), Seats: g.known.GetSeats()}
		g.searching = false
	}

	return nil
}

// Take asks for one token; see tokens.Holder.
func (g *Group) Take(now time.Time, account string, deadline time.Time) (fleet.Take, *tokens.Waiter) {
	return g.holder.Take(now, account, deadline)
}

// Cancel removes a waiter whose caller went away.
func (g *Group) Cancel(w *tokens.Waiter) { g.holder.Cancel(w) }

// Idle reports that no tokens are held, waited for or expected to be needed.
func (g *Group) Idle() bool { return g.holder.Idle() }

// Expire returns the waiters whose deadline has passed.
func (g *Group) Expire(now time.Time) []*tokens.Waiter { return g.holder.Expire(now) }

// End gives up the lease and takes part in no election again. The release is
// sent when Ended reports true.
func (g *Group) End(now time.Time) { g.candidate.End(now, Drain) }

// Ending reports that End was called and the release is still due.
func (g *Group) Ending() bool { return g.candidate.Ending() }
