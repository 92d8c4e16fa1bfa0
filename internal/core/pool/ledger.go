package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// ledger is what a daemon was lent.
type ledger struct {
	// began is the zero of the stamps.
	began  time.Time
	owners *peerpb.Owners
	lent   map[string]loan
	// used is when the share of each owner counted last.
	used map[string]time.Time
	// waived holds the run of each owner that left and gave its share up, and heard
	// the last run of each owner that sent another pledge.
	waived, heard map[string]uint64
	// told is when each owner was last told that this daemon has a majority.
	told map[string]time.Time
	// majoritySince is since when it has had a majority without interruption, or
	// zero.
	majoritySince time.Time
}

// loan is the share of one owner.
type loan struct {
	incarnation uint64
	epoch       uint64
	// until is when it ends, and counts until when it counts without a majority.
	until, counts time.Time
	// after is when it was released last. A pledge that was stamped before may
	// have been overtaken by the release.
	after time.Time
}

func newLedger(now time.Time) *ledger {
	return &ledger{
		began: now, owners: &peerpb.Owners{}, lent: map[string]loan{}, used: map[string]time.Time{},
		waived: map[string]uint64{}, heard: map[string]uint64{}, told: map[string]time.Time{},
	}
}

// adopt replaces the owners.
func (l *ledger) adopt(now time.Time, owners *peerpb.Owners) {
	l.majority(now)
	l.owners = owners
	gone := func(name string) bool { return !slices.Contains(owners.GetNames(), name) }
	maps.DeleteFunc(l.lent, func(name string, _ loan) bool { return gone(name) })
	maps.DeleteFunc(l.used, func(name string, _ time.Time) bool { return gone(name) && !l.spendable(name, now) })
	maps.DeleteFunc(l.waived, func(name string, _ uint64) bool { return gone(name) })
	maps.DeleteFunc(l.heard, func(name string, _ uint64) bool { return gone(name) })
	maps.DeleteFunc(l.told, func(name string, _ time.Time) bool { return gone(name) })
	l.majority(now)
}

// take records a pledge and returns its result. A pledge of a higher epoch than
// the owners that are known here does not count.
func (l *ledger) take(
	now time.Time, from Daemon, pledge *peerpb.Pledge, incarnation, epoch uint64,
) *peerpb.PledgeResult {
	result := &peerpb.PledgeResult{
		Stamp: uint64(now.Sub(l.began)) + 1, Incarnation: incarnation, Epoch: epoch, //nolint:gosec // not before the start
	}
	known := l.lent[from.Name]
	if from.Incarnation < known.incarnation || !slices.Contains(l.owners.GetNames(), from.Name) || pledge.GetEpoch() > epoch {
		return result
	}
	if pledge.GetWaived() {
		l.waived[from.Name] = max(l.waived[from.Name], from.Incarnation)
	} else {
		l.heard[from.Name] = max(l.heard[from.Name], from.Incarnation)
	}
	stamped := l.began.Add(time.Duration(pledge.GetEcho()) - 1) //nolint:gosec // checked below
	switch {
	case pledge.GetRelease():
		result.Unused = !l.spendable(from.Name, now)
		l.lent[from.Name] = loan{incarnation: from.Incarnation, after: now}
	case pledge.GetEcho() > 0 && pledge.GetEchoIncarnation() == incarnation && !stamped.After(now):
		valid := tokens.RemoveClockMargin(time.Duration(min(max(pledge.GetValidNanoseconds(), 0), int64(MajorityContactTTL))))
		next := loan{
			incarnation: from.Incarnation, epoch: pledge.GetEpoch(), until: stamped.Add(LeaseDuration), counts: stamped.Add(valid),
			after: known.after,
		}
		// A pledge that was overtaken by a later one changes nothing.
		if from.Incarnation > known.incarnation || next.until.After(known.until) && stamped.After(known.after) {
			l.lent[from.Name] = next
		}
	}
	if l.majority(now) {
		result.Majority = true
		l.told[from.Name] = now
	}

	return result
}

// held returns an owner's share if it can be used at now: tokens that are granted
// from it expire before it runs out.
func (l *ledger) held(name string, now time.Time) (loan, bool) {
	one, ok := l.lent[name]

	return one, ok && !now.Add(tokens.AddClockMargin(tokens.BatchTTL)).After(one.until)
}

// spendable reports whether tokens from an owner's share may be left somewhere.
func (l *ledger) spendable(name string, now time.Time) bool {
	at, used := l.used[name]

	return used && now.Sub(at) < tokens.AddClockMargin(tokens.BatchTTL)
}

// majority reports whether more than half of the owners lend their shares, and
// keeps track since when.
func (l *ledger) majority(now time.Time) bool {
	count := 0
	for _, name := range l.owners.GetNames() {
		if _, ok := l.held(name, now); ok {
			count++
		}
	}
	switch {
	case 2*count <= len(l.owners.GetNames()):
		l.majoritySince = time.Time{}

		return false
	case l.majoritySince.IsZero():
		l.majoritySince = now
	}

	return true
}

// share returns the part of the limits that can be granted at now.
func (l *ledger) share(now time.Time) float64 {
	names := l.owners.GetNames()
	majority, current := l.majority(now), l.current(now)
	count := 0
	for _, name := range names {
		one, ok := l.held(name, now)
		switch {
		case name == l.owners.GetAdded() && !current:
			// Owners that do not know of it yet count a greater share as theirs.
		case ok && (majority || !now.Add(tokens.AddClockMargin(tokens.BatchTTL)).After(one.counts)):
			count++
			l.used[name] = now
		case !ok && majority && l.void(name, now):
			count++
		}
	}

	return float64(count) / float64(max(len(names), 1))
}

// void reports whether an owner's share counts nowhere, because its last run has
// given it up, or it has had no contact with a majority for long. What a new run
// lends counts only at a daemon with a majority, until it has had contact with one.
func (l *ledger) void(name string, now time.Time) bool {
	if run, left := l.waived[name]; left && run >= l.heard[name] {
		return true
	}

	return l.unheard(name, now) >= tokens.AddClockMargin(MajorityContactTTL)
}

// unheard returns for how long an owner cannot have heard of a majority.
func (l *ledger) unheard(name string, now time.Time) time.Duration {
	last := l.told[name]
	if l.majoritySince.After(last) {
		last = l.majoritySince
	}
	if l.majoritySince.IsZero() {
		return 0
	}

	return now.Sub(last)
}

// current reports whether each owner knows the present epoch or is void.
func (l *ledger) current(now time.Time) bool {
	for _, name := range l.owners.GetNames() {
		one, ok := l.held(name, now)
		if (!ok || one.epoch < l.owners.GetEpoch()) && !l.void(name, now) {
			return false
		}
	}

	return true
}
