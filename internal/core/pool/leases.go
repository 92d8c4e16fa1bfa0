package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// leaseTable holds the leases of the owners' shares to this daemon. All maps are
// keyed by the name of the owner.
type leaseTable struct {
	// startedAt is the origin of the stamps. A stamp is the number of nanoseconds since
	// startedAt plus 1, so that 0 means no stamp.
	startedAt time.Time
	owners    *peerpb.Owners
	leases    map[string]lease
	// lastUsed is when each owner's leased share last counted in grantableShare.
	lastUsed map[string]time.Time
	// waivedRun is the incarnation of each owner that left and waived its share.
	// pledgedRun is the last incarnation of each owner that sent any other pledge.
	waivedRun, pledgedRun map[string]uint64
	// majorityReportedAt is when this daemon last reported in an answer to each owner that
	// it has a majority.
	majorityReportedAt map[string]time.Time
	// majoritySince is when this daemon got its present majority, or zero if it has
	// none.
	majoritySince time.Time
}

// lease is the lease of one owner's share.
type lease struct {
	// incarnation is the owner's incarnation.
	incarnation uint64
	// epoch is the epoch of the owners that the owner knew.
	epoch     uint64
	expiresAt time.Time
	// minorityUntil is the time until which the share can be used while this daemon has
	// no majority.
	minorityUntil time.Time
	// releasedAt is when the owner last ended its lease by a release. A pledge with an
	// earlier stamp may have been overtaken by the release and is ignored.
	releasedAt time.Time
}

func newLeaseTable(now time.Time) *leaseTable {
	return &leaseTable{
		startedAt: now, owners: &peerpb.Owners{}, leases: map[string]lease{}, lastUsed: map[string]time.Time{},
		waivedRun: map[string]uint64{}, pledgedRun: map[string]uint64{}, majorityReportedAt: map[string]time.Time{},
	}
}

// setOwners installs the owners of a new epoch and drops the state of removed ones.
func (l *leaseTable) setOwners(now time.Time, owners *peerpb.Owners) {
	l.hasMajority(now)
	l.owners = owners
	removed := func(name string) bool { return !slices.Contains(owners.GetNames(), name) }
	maps.DeleteFunc(l.leases, func(name string, _ lease) bool { return removed(name) })
	maps.DeleteFunc(l.lastUsed, func(name string, _ time.Time) bool { return removed(name) && !l.tokensSpendable(name, now) })
	maps.DeleteFunc(l.waivedRun, func(name string, _ uint64) bool { return removed(name) })
	maps.DeleteFunc(l.pledgedRun, func(name string, _ uint64) bool { return removed(name) })
	maps.DeleteFunc(l.majorityReportedAt, func(name string, _ time.Time) bool { return removed(name) })
	l.hasMajority(now)
}

// recordPledge records a pledge and returns its result. Incarnation is this daemon's,
// and epoch the epoch of the owners known here. A pledge with a higher epoch, from a
// daemon that is not an owner or from an earlier run of an owner is not recorded.
func (l *leaseTable) recordPledge(
	now time.Time, from Daemon, pledge *peerpb.Pledge, incarnation, epoch uint64,
) *peerpb.PledgeResult {
	result := &peerpb.PledgeResult{
		Stamp: uint64(now.Sub(l.startedAt)) + 1, Incarnation: incarnation, Epoch: epoch, //nolint:gosec // not before the start
	}
	previous := l.leases[from.Name]
	if from.Incarnation < previous.incarnation || !slices.Contains(l.owners.GetNames(), from.Name) || pledge.GetEpoch() > epoch {
		return result
	}
	if pledge.GetWaived() {
		l.waivedRun[from.Name] = max(l.waivedRun[from.Name], from.Incarnation)
	} else {
		l.pledgedRun[from.Name] = max(l.pledgedRun[from.Name], from.Incarnation)
	}
	stampTime := l.startedAt.Add(time.Duration(pledge.GetEcho()) - 1) //nolint:gosec // checked below
	switch {
	case pledge.GetRelease():
		result.Unused = !l.tokensSpendable(from.Name, now)
		l.leases[from.Name] = lease{incarnation: from.Incarnation, releasedAt: now}
	case pledge.GetEcho() > 0 && pledge.GetEchoIncarnation() == incarnation && !stampTime.After(now):
		minorityValidity := tokens.RemoveClockMargin(time.Duration(min(max(pledge.GetValidNanoseconds(), 0), int64(MajorityContactTTL))))
		next := lease{
			incarnation: from.Incarnation, epoch: pledge.GetEpoch(), expiresAt: stampTime.Add(LeaseDuration), minorityUntil: stampTime.Add(minorityValidity),
			releasedAt: previous.releasedAt,
		}
		// A pledge that was overtaken by a later pledge or release changes nothing.
		if from.Incarnation > previous.incarnation || next.expiresAt.After(previous.expiresAt) && stampTime.After(previous.releasedAt) {
			l.leases[from.Name] = next
		}
	}
	if l.hasMajority(now) {
		result.Majority = true
		l.majorityReportedAt[from.Name] = now
	}

	return result
}

// usableLease returns the lease of an owner's share and whether the share can be used
// at now: tokens granted from it at now must expire before the lease.
func (l *leaseTable) usableLease(name string, now time.Time) (lease, bool) {
	found, ok := l.leases[name]

	return found, ok && !now.Add(tokens.AddClockMargin(tokens.BatchTTL)).After(found.expiresAt)
}

// tokensSpendable reports whether tokens granted from an owner's share can still be
// spent by any holder.
func (l *leaseTable) tokensSpendable(name string, now time.Time) bool {
	usedAt, used := l.lastUsed[name]

	return used && now.Sub(usedAt) < tokens.AddClockMargin(tokens.BatchTTL)
}

// hasMajority reports whether more than half of the owners lease their shares to this
// daemon, and updates majoritySince.
func (l *leaseTable) hasMajority(now time.Time) bool {
	count := 0
	for _, name := range l.owners.GetNames() {
		if _, ok := l.usableLease(name, now); ok {
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

// grantableShare returns the part of the limits that this daemon can grant at now, 0
// to 1. It updates lastUsed.
func (l *leaseTable) grantableShare(now time.Time) float64 {
	names := l.owners.GetNames()
	majority, current := l.hasMajority(now), l.ownersCurrent(now)
	usable := 0
	for _, name := range names {
		found, ok := l.usableLease(name, now)
		switch {
		case name == l.owners.GetAdded() && !current:
			// The shares of owners that do not know of the added owner yet are larger,
			// because they divide the limits by fewer owners. With the share of the
			// added owner, the sum of all shares could exceed the limits.
		case ok && (majority || !now.Add(tokens.AddClockMargin(tokens.BatchTTL)).After(found.minorityUntil)):
			usable++
			l.lastUsed[name] = now
		case !ok && majority && l.isUnclaimed(name, now):
			usable++
		}
	}

	return float64(usable) / float64(max(len(names), 1))
}

// isUnclaimed reports whether an owner's share counts at no other granter, because
// its last run has waived it, or has had no contact with a granter with a majority
// for AddClockMargin(MajorityContactTTL). The share of a new run counts only at a
// granter with a majority, until that run has had contact with one.
func (l *leaseTable) isUnclaimed(name string, now time.Time) bool {
	if run, waived := l.waivedRun[name]; waived && run >= l.pledgedRun[name] {
		return true
	}

	return l.sinceMajorityContact(name, now) >= tokens.AddClockMargin(MajorityContactTTL)
}

// sinceMajorityContact returns for how long an owner cannot have had contact with a
// granter with a majority. It returns 0 if this daemon has no majority.
func (l *leaseTable) sinceMajorityContact(name string, now time.Time) time.Duration {
	contactAt := l.majorityReportedAt[name]
	if l.majoritySince.After(contactAt) {
		contactAt = l.majoritySince
	}
	if l.majoritySince.IsZero() {
		return 0
	}

	return now.Sub(contactAt)
}

// ownersCurrent reports whether each owner knows the present epoch or its share is
// unclaimed.
func (l *leaseTable) ownersCurrent(now time.Time) bool {
	for _, name := range l.owners.GetNames() {
		found, ok := l.usableLease(name, now)
		if (!ok || found.epoch < l.owners.GetEpoch()) && !l.isUnclaimed(name, now) {
			return false
		}
	}

	return true
}
