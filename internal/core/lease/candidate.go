package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Candidate is the state of one daemon as the holder of one group's lease, or
// as a candidate for it.
type Candidate struct {
	self   Daemon
	group  uint32
	random *rand.Rand
	seats  *peerpb.Seats
	// votes is when the last promised request was sent, by seat of this epoch.
	votes map[string]time.Time
	// rivals is whom each seat has promised the lease instead, in this round.
	rivals    map[string]string
	term      uint64
	knownTerm uint64
	heldUntil time.Time
	tenure    uint64
	// void is when votes were last given back; requests sent until then do not count.
	void    time.Time
	next    time.Time
	trying  bool
	ending  time.Time
	stopped bool
}

// NewCandidate returns a candidate without promises.
func NewCandidate(group int, self Daemon, random *rand.Rand) *Candidate {
	return &Candidate{
		self: self, group: uint32(group), random: random, votes: map[string]time.Time{}, rivals: map[string]string{}, //nolint:gosec // groups are small and not negative
	}
}

// Observe takes over a seats object of a higher epoch. A lease that is held
// stays valid until it expires.
func (c *Candidate) Observe(seats *peerpb.Seats) {
	if seats.GetEpoch() > c.seats.GetEpoch() {
		c.seats = seats
		clear(c.votes)
		c.next = time.Time{}
	}
}

// Know takes over a term that was seen elsewhere, such as in the entry of an
// earlier holder. Seats forget terms when they restart, and entries of a lower
// term do not spread.
func (c *Candidate) Know(now time.Time, term uint64) {
	c.knownTerm = max(c.knownTerm, term)
	if c.Held(now) && term >= c.term {
		c.term = term + 1
		c.next = now
	}
}

// Held reports whether the lease is held at now.
func (c *Candidate) Held(now time.Time) bool { return now.Before(c.end()) }

// Tenure rises each time the lease is obtained after it was not held.
func (c *Candidate) Tenure() uint64 { return c.tenure }

// Term returns the term of the candidate's latest requests.
func (c *Candidate) Term() uint64 { return c.term }

// Left returns how long a grant made at now may be valid on any other clock
// without outliving the lease.
func (c *Candidate) Left(now time.Time) time.Duration { return max(0, Shorten(c.end().Sub(now))) }

func (c *Candidate) end() time.Time {
	if !c.ending.IsZero() && c.ending.Before(c.heldUntil) {
		return c.ending
	}

	return c.heldUntil
}

// End gives the lease up after drain, so that grants made meanwhile can be cut
// to the time left; the next Ballots after that release the promises.
func (c *Candidate) End(now time.Time, drain time.Duration) {
	if c.ending.IsZero() {
		c.ending = now.Add(drain)
	}
}

// Ending reports that End was called and the promises are not yet released.
func (c *Candidate) Ending() bool { return !c.ending.IsZero() && !c.stopped }

// Elected reports that the lease is held by votes of the current epoch.
func (c *Candidate) Elected(now time.Time) bool {
	return c.Held(now) && len(c.votes) >= Majority(len(c.seats.GetSeats()))
}

// Ballots returns the messages that are due. Rank is the candidate's place
// among the seats; free says that its own seat has promised the lease to no
// other daemon.
func (c *Candidate) Ballots(now time.Time, rank int, free bool) []Ballot {
	switch {
	case c.stopped:
		return nil
	case !c.ending.IsZero() && !now.Before(c.end()):
		c.stopped = true

		return c.release(now)
	case c.seats == nil:
		return nil
	case c.Held(now):
		c.trying = false
		if now.Before(c.next) {
			return nil
		}
		c.next = now.Add(RenewInterval)

		return c.ballots(false)
	case c.trying && !now.Before(c.next):
		c.trying = false
		c.next = now.Add(c.backoff(rank))
		if c.beaten() {
			c.next = c.next.Add(RenewInterval)
		}

		return c.release(now)
	case !c.trying && !free:
		c.next = now.Add(c.backoff(rank))

		return nil
	case c.trying || now.Before(c.next) || !c.ending.IsZero():
		return nil
	}
	c.trying = true
	clear(c.rivals)
	c.term = max(c.term, c.knownTerm) + 1
	c.next = now.Add(roundTimeout)

	return c.ballots(false)
}

// backoff orders the candidates by rank and keeps two of them from splitting
// the votes forever.
func (c *Candidate) backoff(rank int) time.Duration {
	return time.Duration(rank)*30*time.Millisecond + time.Duration(c.random.Int64N(int64(100*time.Millisecond)))
}

// beaten reports that a majority of seats named the same holder. The seats
// that are still free are then left to its next renewal: a candidate that keeps
// asking for them would hold them back from it.
func (c *Candidate) beaten() bool {
	count := map[string]int{}
	for _, name := range c.rivals {
		count[name]++
		if name != "" && count[name] >= Majority(len(c.seats.GetSeats())) {
			return true
		}
	}

	return false
}

// release gives all votes back. Without a term there are none.
func (c *Candidate) release(now time.Time) []Ballot {
	var out []Ballot
	if c.term > 0 {
		out = c.ballots(true)
	}
	clear(c.votes)
	c.void, c.heldUntil = now, time.Time{}
	c.knownTerm = max(c.knownTerm, c.term)

	return out
}

func (c *Candidate) ballots(release bool) []Ballot {
	out := make([]Ballot, 0, MaxSeats)
	for _, s := range c.seats.GetSeats() {
		out = append(out, Ballot{To: s.GetName(), Message: &peerpb.PromiseRequest{
			Group: c.group, Epoch: c.seats.GetEpoch(), Candidate: c.self.Name, CandidateIncarnation: c.self.Incarnation, Release: release, Term: c.term,
		}})
	}

	return out
}

// Answer takes the answer of the seat named from to request, sent at sent. It
// reports whether the answer began a new tenure.
func (c *Candidate) Answer(now, sent time.Time, from string, request *peerpb.PromiseRequest, result *peerpb.PromiseResult) bool {
	c.knownTerm = max(c.knownTerm, result.GetTerm())
	if seats := result.GetSeats(); seats != nil {
		c.Observe(seats)
	}
	if request.GetRelease() || c.stopped || !sent.After(c.void) || request.GetEpoch() != c.seats.GetEpoch() {
		return false
	}
	if !result.GetPromised() {
		c.rivals[from] = result.GetHolder()
		c.refused(now, result)

		return false
	}
	if find(c.seats.GetSeats(), from) == nil {
		return false
	}
	c.votes[from] = later(c.votes[from], sent)

	return c.count(now, sent)
}

// refused lets a holder go on with a higher term when a seat that has promised
// the lease to no one else has seen one.
func (c *Candidate) refused(now time.Time, result *peerpb.PromiseResult) {
	if c.Held(now) && result.GetTerm() >= c.term && result.GetEpoch() == c.seats.GetEpoch() &&
		(result.GetHolder() == "" || result.GetHolder() == c.self.Name) {
		c.term = result.GetTerm() + 1
		c.next = now
	}
}

// count extends the lease to Duration after the oldest request of the newest
// majority of votes.
func (c *Candidate) count(now, sent time.Time) bool {
	need := Majority(len(c.seats.GetSeats()))
	if len(c.votes) < need {
		return false
	}
	sents := make([]time.Time, 0, len(c.votes))
	for _, t := range c.votes {
		sents = append(sents, t)
	}
	slices.SortFunc(sents, func(a, b time.Time) int { return b.Compare(a) })
	until := sents[need-1].Add(Duration)
	held := c.Held(now)
	c.heldUntil = later(c.heldUntil, until)
	if held || !c.Held(now) {
		return false
	}
	c.tenure++
	c.trying = false
	c.next = sent.Add(RenewInterval)

	return true
}
