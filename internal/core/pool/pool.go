// Package pool decides who grants the tokens of a group of client accounts, and
// how much.
//
// Each owner has an equal share of every limit and lends it to one granter at a
// time, which grants as much as the shares that it was lent add up to. So daemons
// that are cut off from each other never grant more than the limit together, and
// a granter that fails is replaced as soon as what it was lent has run out,
// without an election.
//
// A granter with the shares of a majority also uses those of owners that have had
// no contact with any majority for a while. These owners know that their shares
// no longer count elsewhere. The set of owners is an object in the store, which
// the granter with a majority changes by one owner at a time, as Raft does
// (Ongaro and Ousterhout, 2014). Expiry relies on bounded clock rates and not on
// synchronized clocks (Gray and Cheriton, 1989).
//
// Its types do no I/O. Callers pass messages and the current time, under one lock.
package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// LeaseDuration is how long a share is lent from the granter's stamp.
	LeaseDuration = 900 * time.Millisecond
	// renewInterval leaves two pledges to be lost before a share runs out.
	renewInterval = 250 * time.Millisecond
	// pledgeRetry is the pause after a pledge that was not answered.
	pledgeRetry = 50 * time.Millisecond
	// MajorityContactTTL is how long after its last contact with a majority an owner's share
	// counts at a granter without one.
	MajorityContactTTL = 10 * time.Second
	// minAvoid is how long a granter that did not answer is passed over; this
	// doubles up to maxAvoid.
	minAvoid = 2 * time.Second
	maxAvoid = 30 * time.Second
	// probeInterval is the time between two looks whether a preferred granter
	// answers.
	probeInterval = time.Second
	// maxFailures is how many pledges in a row a granter may leave unanswered.
	maxFailures = 2
)

// Daemon is one run of a daemon.
type Daemon struct {
	Name        string
	Incarnation uint64
}

// Message is a frame for another daemon, or for this one. Its answer is passed
// to Answer with the same Message.
type Message struct {
	To    string
	Frame *peerpb.Frame
	Sent  time.Time
}

// Pool is one daemon's state in one group.
type Pool struct {
	number  uint32
	self    Daemon
	voter   *voter
	ledger  *ledger
	granter *tokens.Granter
	holder  *tokens.Holder
	limits  tokens.Limits
	owners  *peerpb.Owners
	// share is the part of the limits that the granter was configured with.
	share float64
	// ranked are the daemons that may grant, the preferred one first.
	ranked []string
	// gone says that the granter is not among them.
	gone   bool
	ending bool
}

// New returns the state of a daemon that started at now.
func New(number int, self Daemon, now time.Time, random *rand.Rand) *Pool {
	return &Pool{
		number: uint32(number), self: self, //nolint:gosec // groups are small and not negative
		voter:   newVoter(now),
		ledger:  newLedger(now),
		granter: tokens.NewGranter(now, random.Uint64(), tokens.LimitMap{}),
		holder:  tokens.NewHolder(number, self.Incarnation, tokens.LimitMap{}),
		limits:  tokens.LimitMap{}, owners: &peerpb.Owners{},
	}
}

// Configure installs the limits of the group's client accounts.
func (p *Pool) Configure(now time.Time, limits tokens.Limits) {
	p.limits = limits
	p.holder.Configure(limits)
	p.granter.Configure(now, tokens.ScaleLimits(limits, p.share))
}

// Owners returns the owners of the highest epoch that is known. It is shared and
// must not be changed.
func (p *Pool) Owners() *peerpb.Owners { return p.owners }

// UpdateOwners takes over owners that are, or were, in the store.
func (p *Pool) UpdateOwners(now time.Time, owners *peerpb.Owners) {
	if owners.GetEpoch() <= p.owners.GetEpoch() {
		return
	}
	p.owners = owners
	p.ledger.adopt(now, owners)
	p.refresh(now)
}

// SetCandidates sets the daemons that may grant, the preferred one first. All daemons
// rank alike what they know alike.
func (p *Pool) SetCandidates(ranked []string) {
	p.ranked = ranked
	p.gone = !slices.Contains(ranked, p.voter.target)
}

// Granter returns the daemon that this one asks for tokens, or "".
func (p *Pool) Granter() string { return p.voter.target }

// Share returns the part of the limits that this daemon grants at now, 0 to 1.
func (p *Pool) Share(now time.Time) float64 {
	p.refresh(now)

	return p.share
}

// HasMajorityGranter reports whether this daemon grants with a majority, or has lately heard
// from the daemon that does.
func (p *Pool) HasMajorityGranter(now time.Time) bool {
	return p.ledger.majority(now) || p.voter.settled(now)
}

// HasMajority reports whether this daemon was lent the shares of a majority.
func (p *Pool) HasMajority(now time.Time) bool { return p.ledger.majority(now) }

func (p *Pool) owner() bool { return slices.Contains(p.owners.GetNames(), p.self.Name) }

// refresh gives the granter the part of the limits that it may grant at now.
func (p *Pool) refresh(now time.Time) {
	share := p.ledger.share(now)
	if share != p.share {
		p.share = share
		p.granter.Configure(now, tokens.ScaleLimits(p.limits, share))
	}
}

// DuePledges returns the pledge that is due, or none.
func (p *Pool) DuePledges(now time.Time) []Message {
	p.refresh(now)
	var out []Message
	preferred := p.preferred(now)
	if preferred != p.voter.target {
		p.gone = false
	}
	for _, o := range p.voter.due(now, preferred, p.ranked, p.owner(), p.ending) {
		pledge := o.pledge
		pledge.Group, pledge.Incarnation, pledge.Epoch = p.number, p.self.Incarnation, p.owners.GetEpoch()
		if o.older {
			pledge.Owners = p.owners
		}
		out = append(out, Message{To: o.to, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_Pledge{Pledge: pledge}}})
	}

	return out
}

// NextPledgeTime returns when Messages should be called again, unless an answer
// comes before.
func (p *Pool) NextPledgeTime(now time.Time) time.Time {
	if p.voter.target == "" || p.voter.outstanding {
		return now.Add(renewInterval)
	}

	return p.voter.next
}

// preferred returns the daemon to pledge to. One that grants keeps the task, since
// its successor would begin with empty buckets. Otherwise it is the first of those
// that rank, without those that did not answer lately. A leaving daemon does not
// grant.
func (p *Pool) preferred(now time.Time) string {
	v := p.voter
	if v.settled(now) && !p.gone && p.eligible(v.target, now) {
		return v.target
	}
	if known := v.reported(now); known != "" && p.eligible(known, now) && slices.Contains(p.ranked, known) {
		return known
	}
	for _, name := range p.ranked {
		if p.eligible(name, now) {
			return name
		}
	}

	return ""
}

func (p *Pool) eligible(name string, now time.Time) bool {
	return !p.voter.avoided(name, now) && (!p.ending || name != p.self.Name)
}

// NextTokenRequest returns the request for tokens that is due, or nil.
func (p *Pool) NextTokenRequest(now time.Time) *Message {
	if p.voter.target == "" {
		return nil
	}
	request := p.holder.NextRequest(now)
	if request == nil {
		return nil
	}

	return &Message{To: p.voter.target, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: request}}}
}

// Handle answers a frame of another daemon, or of this one.
func (p *Pool) Handle(now time.Time, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Pledge:
		return &peerpb.Frame{Body: &peerpb.Frame_PledgeResult{PledgeResult: p.pledged(now, from, body.Pledge)}}, true
	case *peerpb.Frame_TokenRequest:
		return &peerpb.Frame{Body: &peerpb.Frame_TokenResult{TokenResult: p.grant(now, from, body.TokenRequest)}}, true
	}

	return nil, false
}

func (p *Pool) pledged(now time.Time, from string, pledge *peerpb.Pledge) *peerpb.PledgeResult {
	p.UpdateOwners(now, pledge.GetOwners())
	result := p.ledger.take(now, Daemon{from, pledge.GetIncarnation()}, pledge, p.self.Incarnation, p.owners.GetEpoch())
	if pledge.GetEpoch() < p.owners.GetEpoch() {
		result.Owners = p.owners
	}
	switch {
	case p.ledger.majority(now) && !p.ending:
		result.Grants = true
	case p.voter.settled(now) && p.voter.target != p.self.Name:
		result.Granter = p.voter.target
	}
	p.refresh(now)

	return result
}

func (p *Pool) grant(now time.Time, from string, request *peerpb.TokenRequest) *peerpb.TokenResult {
	p.refresh(now)
	if p.share == 0 {
		return &peerpb.TokenResult{Holder: p.voter.target}
	}

	return p.granter.Handle(now, from, request, tokens.BatchTTL)
}

// HandleAnswer takes the answer to a message, or nil if none came. It returns the
// waiters that it resolved.
func (p *Pool) HandleAnswer(now time.Time, message Message, answer *peerpb.Frame) []*tokens.Waiter {
	switch body := message.Frame.GetBody().(type) {
	case *peerpb.Frame_Pledge:
		result := answer.GetPledgeResult()
		p.UpdateOwners(now, result.GetOwners())
		p.voter.answer(now, message.Sent, message.To, body.Pledge, result, p.owners.GetEpoch())
	case *peerpb.Frame_TokenRequest:
		result := answer.GetTokenResult()
		if result.GetGranter() {
			return p.holder.HandleAnswer(now, body.TokenRequest, result)
		}
		p.holder.HandleFailure(now, body.TokenRequest)
		if result == nil {
			p.voter.failed(now, message.To)
		}
	}

	return nil
}

// Take asks for one token; see tokens.Holder.
func (p *Pool) Take(now time.Time, demand fleet.TokenDemand) (fleet.TokenResult, *tokens.Waiter) {
	return p.holder.Take(now, demand)
}

// Cancel removes a waiter whose caller went away.
func (p *Pool) Cancel(w *tokens.Waiter) { p.holder.Cancel(w) }

// Idle reports that no tokens are held, waited for or expected to be needed.
func (p *Pool) Idle() bool { return p.holder.Idle() }

// Waiting reports that requests wait for tokens.
func (p *Pool) Waiting() bool { return p.holder.Waiting() }

// Expire returns the waiters whose deadline has passed.
func (p *Pool) Expire(now time.Time) []*tokens.Waiter { return p.holder.Expire(now) }

// StopGranting makes a leaving daemon lend its share no longer and grant to nobody whose
// share it was lent. The others turn to another granter when they learn that it
// leaves.
func (p *Pool) StopGranting() { p.ending = true }
