// Package pool decides which daemon grants the tokens of a group of client
// accounts, and which part of the limits it may grant.
//
// Some daemons are owners. Each owner has an equal share of every limit and leases
// it to one granter at a time. A granter grants at most the sum of the shares that
// are leased to it. Therefore daemons on different sides of a network partition
// never grant more than the limit in total, and a failed granter is replaced as
// soon as its leases have expired, without an election.
//
// A granter has a majority while more than half of the owners lease it their
// shares. It then also uses the shares of owners that left and waived theirs, or
// that have had no contact with any granter with a majority for
// AddClockMargin(MajorityContactTTL). Such an owner knows that its share no longer
// counts at a granter without a majority.
//
// The set of owners is an object in the store. The granter with a majority changes
// it by one owner at a time, as Raft changes its members (Ongaro and Ousterhout,
// 2014). The expiry of leases requires bounded clock rates, but no synchronized
// clocks (Gray and Cheriton, 1989).
//
// The types of this package do no I/O. Callers pass messages and the current time,
// and serialize all calls with a lock.
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
	// LeaseDuration is the duration of a lease, counted from the granter's stamp.
	LeaseDuration = 900 * time.Millisecond
	// renewInterval is the interval at which an owner renews its lease by a pledge. Two
	// pledges can be lost before the lease expires.
	renewInterval = 250 * time.Millisecond
	// pledgeRetryDelay is the pause after a pledge that was not answered.
	pledgeRetryDelay = 50 * time.Millisecond
	// MajorityContactTTL is how long after its last contact with a granter that has
	// a majority an owner's share counts at a granter without one.
	MajorityContactTTL = 10 * time.Second
	// minAvoidance is how long a granter is not selected after it failed to answer. The
	// time doubles with each further failure, up to maxAvoidance.
	minAvoidance = 2 * time.Second
	maxAvoidance = 30 * time.Second
	// probeInterval is the time between two probes of a preferred granter.
	probeInterval = time.Second
	// maxConsecutiveFailures is the number of consecutive unanswered messages after
	// which a granter is avoided.
	maxConsecutiveFailures = 2
)

// Daemon identifies one run of a daemon, from its start to its end.
type Daemon struct {
	Name        string
	Incarnation uint64
}

// Message is a frame to send to a daemon, which may be this one. The caller passes
// its answer to HandleAnswer with the same Message.
type Message struct {
	// To is the name of the receiving daemon.
	To    string
	Frame *peerpb.Frame
	// Sent is when the message was created.
	Sent time.Time
}

// Pool is the state of one daemon in one group of client accounts. It is not safe
// for concurrent use.
type Pool struct {
	group    uint32
	self     Daemon
	selector *granterSelector
	leases   *leaseTable
	granter  *tokens.Granter
	holder   *tokens.Holder
	// limits are the limits of the whole fleet.
	limits tokens.Limits
	owners *peerpb.Owners
	// share is the part of the limits that granter is configured with, 0 to 1.
	share float64
	// candidates are the names of the daemons that may grant, the preferred one first.
	candidates []string
	// targetRemoved means that the selector's target is not among the candidates.
	targetRemoved bool
	// leaving means that this daemon is about to stop.
	leaving bool
}

// New returns the state of a daemon that started at now. Random gives the first
// batch number of its granter.
func New(group int, self Daemon, now time.Time, random *rand.Rand) *Pool {
	return &Pool{
		group: uint32(group), self: self, //nolint:gosec // groups are small and not negative
		selector: newGranterSelector(now),
		leases:   newLeaseTable(now),
		granter:  tokens.NewGranter(now, random.Uint64(), tokens.LimitMap{}),
		holder:   tokens.NewHolder(group, self.Incarnation, tokens.LimitMap{}),
		limits:   tokens.LimitMap{}, owners: &peerpb.Owners{},
	}
}

// Configure installs the limits of the group's client accounts.
func (p *Pool) Configure(now time.Time, limits tokens.Limits) {
	p.limits = limits
	p.holder.Configure(limits)
	p.granter.Configure(now, tokens.ScaleLimits(limits, p.share))
}

// Owners returns the owners of the highest known epoch. The result is shared and
// must not be modified.
func (p *Pool) Owners() *peerpb.Owners { return p.owners }

// UpdateOwners installs owners that were read from the store by any daemon, if
// their epoch is higher than the known one.
func (p *Pool) UpdateOwners(now time.Time, owners *peerpb.Owners) {
	if owners.GetEpoch() <= p.owners.GetEpoch() {
		return
	}
	p.owners = owners
	p.leases.setOwners(now, owners)
	p.refreshShare(now)
}

// SetCandidates sets the names of the daemons that may grant, the preferred one first.
// Daemons that know the same members must pass the same order; see RankDaemons.
func (p *Pool) SetCandidates(candidates []string) {
	p.candidates = candidates
	p.targetRemoved = !slices.Contains(candidates, p.selector.target)
}

// Granter returns the name of the daemon that this one asks for tokens, or "".
func (p *Pool) Granter() string { return p.selector.target }

// Share returns the part of the limits that this daemon may grant at now, 0 to 1.
func (p *Pool) Share(now time.Time) float64 {
	p.refreshShare(now)

	return p.share
}

// HasMajorityGranter reports whether this daemon has a majority, or the granter
// that it asks has confirmed within LeaseDuration that it has one.
func (p *Pool) HasMajorityGranter(now time.Time) bool {
	return p.leases.hasMajority(now) || p.selector.targetHasMajority(now)
}

// HasMajority reports whether more than half of the owners lease their shares to this
// daemon.
func (p *Pool) HasMajority(now time.Time) bool { return p.leases.hasMajority(now) }

func (p *Pool) isOwner() bool { return slices.Contains(p.owners.GetNames(), p.self.Name) }

// refreshShare configures the granter with the part of the limits that it may grant
// at now.
func (p *Pool) refreshShare(now time.Time) {
	share := p.leases.grantableShare(now)
	if share != p.share {
		p.share = share
		p.granter.Configure(now, tokens.ScaleLimits(p.limits, share))
	}
}

// DuePledges returns the pledges to send at now.
func (p *Pool) DuePledges(now time.Time) []Message {
	p.refreshShare(now)
	var out []Message
	preferred := p.preferredGranter(now)
	if preferred != p.selector.target {
		p.targetRemoved = false
	}
	for _, due := range p.selector.duePledges(now, preferred, p.candidates, p.isOwner(), p.leaving) {
		pledge := due.pledge
		pledge.Group, pledge.Incarnation, pledge.Epoch = p.group, p.self.Incarnation, p.owners.GetEpoch()
		if due.includeOwners {
			pledge.Owners = p.owners
		}
		out = append(out, Message{To: due.to, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_Pledge{Pledge: pledge}}})
	}

	return out
}

// NextPledgeTime returns when DuePledges should be called again, unless an answer is
// passed to HandleAnswer before.
func (p *Pool) NextPledgeTime(now time.Time) time.Time {
	if p.selector.target == "" || p.selector.awaitingAnswer {
		return now.Add(renewInterval)
	}

	return p.selector.nextPledgeAt
}

// preferredGranter returns the name of the daemon that should grant, or "". A
// granter that has a majority is not replaced, because its successor would start
// with empty buckets. Next comes the granter with a majority that another daemon has
// reported, then the first eligible candidate.
func (p *Pool) preferredGranter(now time.Time) string {
	s := p.selector
	if s.targetHasMajority(now) && !p.targetRemoved && p.eligible(s.target, now) {
		return s.target
	}
	if reported := s.recentlyReportedGranter(now); reported != "" && p.eligible(reported, now) && slices.Contains(p.candidates, reported) {
		return reported
	}
	for _, name := range p.candidates {
		if p.eligible(name, now) {
			return name
		}
	}

	return ""
}

// eligible reports whether a daemon can be the granter: it is not avoided after
// unanswered messages, and is not this daemon while it leaves.
func (p *Pool) eligible(name string, now time.Time) bool {
	return !p.selector.isAvoided(name, now) && (!p.leaving || name != p.self.Name)
}

// NextTokenRequest returns the request for tokens to send at now, or nil.
func (p *Pool) NextTokenRequest(now time.Time) *Message {
	if p.selector.target == "" {
		return nil
	}
	request := p.holder.NextRequest(now)
	if request == nil {
		return nil
	}

	return &Message{To: p.selector.target, Sent: now, Frame: &peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: request}}}
}

// Handle returns the answer to a Pledge or TokenRequest from a daemon, which may be
// this one. It returns false for other frames.
func (p *Pool) Handle(now time.Time, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Pledge:
		return &peerpb.Frame{Body: &peerpb.Frame_PledgeResult{PledgeResult: p.handlePledge(now, from, body.Pledge)}}, true
	case *peerpb.Frame_TokenRequest:
		return &peerpb.Frame{Body: &peerpb.Frame_TokenResult{TokenResult: p.handleTokenRequest(now, from, body.TokenRequest)}}, true
	}

	return nil, false
}

func (p *Pool) handlePledge(now time.Time, from string, pledge *peerpb.Pledge) *peerpb.PledgeResult {
	p.UpdateOwners(now, pledge.GetOwners())
	result := p.leases.recordPledge(now, Daemon{from, pledge.GetIncarnation()}, pledge, p.self.Incarnation, p.owners.GetEpoch())
	if pledge.GetEpoch() < p.owners.GetEpoch() {
		result.Owners = p.owners
	}
	switch {
	case p.leases.hasMajority(now) && !p.leaving:
		result.Grants = true
	case p.selector.targetHasMajority(now) && p.selector.target != p.self.Name:
		result.Granter = p.selector.target
	}
	p.refreshShare(now)

	return result
}

func (p *Pool) handleTokenRequest(now time.Time, from string, request *peerpb.TokenRequest) *peerpb.TokenResult {
	p.refreshShare(now)
	if p.share == 0 {
		return &peerpb.TokenResult{Holder: p.selector.target}
	}

	return p.granter.Handle(now, from, request, tokens.BatchTTL)
}

// HandleAnswer processes the answer to a message. Answer is nil if the message was not
// answered. HandleAnswer returns the waiters that it resolved.
func (p *Pool) HandleAnswer(now time.Time, message Message, answer *peerpb.Frame) []*tokens.Waiter {
	switch body := message.Frame.GetBody().(type) {
	case *peerpb.Frame_Pledge:
		result := answer.GetPledgeResult()
		p.UpdateOwners(now, result.GetOwners())
		p.selector.handleAnswer(now, message.Sent, message.To, body.Pledge, result, p.owners.GetEpoch())
	case *peerpb.Frame_TokenRequest:
		result := answer.GetTokenResult()
		if result.GetGranter() {
			return p.holder.HandleAnswer(now, body.TokenRequest, result)
		}
		p.holder.HandleFailure(now, body.TokenRequest)
		if result == nil {
			p.selector.recordFailure(now, message.To)
		}
	}

	return nil
}

// Take spends a token or returns a waiter for it; see tokens.Holder.Take.
func (p *Pool) Take(now time.Time, demand fleet.TokenDemand) (fleet.TokenResult, *tokens.Waiter) {
	return p.holder.Take(now, demand)
}

// Cancel removes a waiter whose request was cancelled.
func (p *Pool) Cancel(w *tokens.Waiter) { p.holder.Cancel(w) }

// Idle reports whether this daemon holds no tokens, and neither waits for any nor
// expects to need some.
func (p *Pool) Idle() bool { return p.holder.Idle() }

// Waiting reports whether requests wait for tokens.
func (p *Pool) Waiting() bool { return p.holder.Waiting() }

// Expire resolves and returns the waiters whose wait has ended at now; see
// tokens.Holder.Expire.
func (p *Pool) Expire(now time.Time) []*tokens.Waiter { return p.holder.Expire(now) }

// StopGranting prepares this daemon for its stop: it stops leasing its own share, and
// stops answering as the granter to the owners that lease it their shares. The other
// daemons select another granter when they learn that this one leaves.
func (p *Pool) StopGranting() { p.leaving = true }
