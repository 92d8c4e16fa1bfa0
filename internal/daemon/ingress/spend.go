package ingress

import (
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	spendSlots = 10
	spendSlot  = time.Second
)

// spend counts the tokens of one client account that this ingress spent.
type spend struct {
	counts   [spendSlots]uint64
	at       int64
	rejected uint64
}

// spends keeps the spend of the client accounts that called this ingress.
type spends struct {
	mu       sync.Mutex
	accounts map[string]*spend
}

func (s *spends) add(clientAccount string, outcome fleet.TokenOutcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.accounts == nil {
		s.accounts = make(map[string]*spend)
	}

	one := s.accounts[clientAccount]
	if one == nil {
		one = &spend{}
		s.accounts[clientAccount] = one
	}

	switch outcome {
	case fleet.TokenGranted:
		one.turn(now)
		one.counts[one.at%spendSlots]++
	case fleet.OverLimit:
		one.rejected++
	case fleet.GranterUnreachable, fleet.UnknownClientAccount:
	}
}

// turn clears the slots between the last use and now.
func (s *spend) turn(now time.Time) {
	at := now.UnixNano() / int64(spendSlot)
	for slot := max(s.at+1, at-spendSlots+1); slot <= at; slot++ {
		s.counts[slot%spendSlots] = 0
	}

	s.at = at
}

// TokenUsage returns the mean of the last ten seconds, in requests per second, and
// the number of requests over the limit, for this ingress alone.
func (in *Ingress) TokenUsage(clientAccount string) (perSecond float64, rejected uint64) {
	in.spends.mu.Lock()
	defer in.spends.mu.Unlock()

	one := in.spends.accounts[clientAccount]
	if one == nil {
		return 0, 0
	}

	one.turn(time.Now())

	var total uint64
	for _, count := range one.counts {
		total += count
	}

	return float64(total) / spendSlots, one.rejected
}

// LastLoad returns the last load that an answer of the upstream carried here, and when
// that was, or the zero time.
func (in *Ingress) LastLoad(upstream string) (fleet.Load, time.Time) {
	in.choices.mu.Lock()
	defer in.choices.mu.Unlock()

	return in.choices.tracker.Load(upstream, time.Now())
}
