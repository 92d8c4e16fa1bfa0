package arbiter

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// heldServices holds the arbiters of the services whose lease this daemon holds. It
// belongs to the decide goroutine.
type heldServices struct {
	arbiters map[string]*health.Arbiter
	// owners gives the daemon of each announced upstream by service.
	owners map[string]map[string]string
}

// decide feeds the evidence to the arbiters and publishes their decisions.
func (a *Arbiter) decide(ctx context.Context) {
	ticker := time.NewTicker(health.ReportInterval)
	defer ticker.Stop()
	c := &heldServices{arbiters: map[string]*health.Arbiter{}, owners: map[string]map[string]string{}}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-a.inbox:
			c.receive(m, time.Now())
		case <-ticker.C:
			a.decideHeld(c, time.Now())
		}
	}
}

// receive passes evidence on. Only the daemon that owns an upstream speaks for
// its egress, and evidence about unknown upstreams is ignored, which bounds
// the arbiter's memory by what is announced.
func (c *heldServices) receive(m message, now time.Time) {
	for _, counts := range m.counts {
		if arbiter := c.arbiters[counts.Service]; arbiter != nil {
			if c.owners[counts.Service][counts.Upstream] == m.from.Daemon {
				arbiter.Report(counts, now)
			}
		}
	}
	for _, path := range m.paths {
		if arbiter := c.arbiters[path.Service]; arbiter != nil {
			if _, known := c.owners[path.Service][path.Upstream]; known {
				arbiter.ReportPath(m.from, path, now)
			}
		}
	}
}

// decideHeld decides for every service whose lease is held, and gives up the others.
func (a *Arbiter) decideHeld(c *heldServices, now time.Time) {
	kept := map[string]*health.Arbiter{}
	owners := map[string]map[string]string{}
	var decisions []health.Decision
	for _, service := range a.ports.Services.Services() {
		if !a.ports.Leases.Held(fleet.Group(service.Name, a.options.Groups), now) {
			continue
		}
		arbiter := c.arbiters[service.Name]
		if arbiter == nil {
			arbiter = health.NewArbiter(a.options.Name, service, a.view.known(service.Name, now), now)
		}
		arbiter.Configure(service)
		kept[service.Name] = arbiter
		upstreams := a.ports.Announced.Upstreams(service.Name)
		owners[service.Name] = ownersOf(upstreams)
		decisions = append(decisions, arbiter.Decide(upstreams, now, a.random)...)
	}
	c.arbiters, c.owners = kept, owners
	a.publish(decisions)
}

func ownersOf(upstreams []health.Upstream) map[string]string {
	owners := make(map[string]string, len(upstreams))
	for _, u := range upstreams {
		owners[u.Name] = u.Daemon
	}

	return owners
}

// publish spreads the decisions. The lease is checked again just before, so
// that a pause between decision and publication cannot outlive it.
func (a *Arbiter) publish(decisions []health.Decision) {
	if len(decisions) == 0 {
		return
	}
	terms := a.terms()
	for _, d := range decisions {
		group := fleet.Group(d.Service, a.options.Groups)
		now := time.Now()
		if !a.ports.Leases.Held(group, now) {
			continue
		}
		entry, err := a.entry(d, terms[group], now)
		if err != nil {
			a.losses.Malformed.Add(1)

			continue
		}
		a.take(entry)
		a.ports.Entries.Publish(entry)
		if d.Changed {
			a.audit(d)
		}
	}
}

// entry returns the entry of a decision. Its incarnation is the lease's term;
// without a known term it follows the entry that it replaces.
func (a *Arbiter) entry(d health.Decision, term uint64, now time.Time) (fleet.Entry, error) {
	value, err := proto.Marshal(&peerpb.Ejection{
		Service:            d.Service,
		Upstream:           d.Upstream,
		State:              uint32(d.State), //nolint:gosec // one of three states
		ValidNanoseconds:   int64(health.EjectionTTL),
		Reason:             d.Reason,
		Arbiter:            d.Arbiter,
		Level:              uint32(d.Level), //nolint:gosec // not negative
		BackoffNanoseconds: int64(max(d.Until.Sub(now), 0)),
	})
	if err != nil {
		return fleet.Entry{}, fmt.Errorf("ejection of %q: %w", d.Upstream, err)
	}
	old := a.view.entry(d.Upstream)
	entry := fleet.Entry{
		Kind: fleet.KindEjection, Key: d.Upstream, Incarnation: max(term, old.Incarnation, 1), Version: 1, Value: value,
	}
	if entry.Incarnation == old.Incarnation {
		entry.Version = old.Version + 1
	}

	return entry, nil
}

// terms returns the terms of the leases that this daemon holds.
func (a *Arbiter) terms() map[int]uint64 {
	terms := map[int]uint64{}
	a.ports.Entries.Range(fleet.KindLease, func(entry fleet.Entry) {
		var lease peerpb.Lease
		if proto.Unmarshal(entry.Value, &lease) == nil && lease.GetHolder() == a.options.Name {
			terms[int(lease.GetGroup())] = lease.GetTerm()
		}
	})

	return terms
}

func (a *Arbiter) audit(d health.Decision) {
	r := auditRecord{
		action:  d.Action,
		subject: d.Service + "/" + d.Upstream,
		detail:  fmt.Sprintf("state %v, reason %s, evidence %.1f, remembered ejections %d", d.State, d.Reason, d.Score, d.Level),
	}
	select {
	case a.audits <- r:
	default:
		a.losses.Audits.Add(1)
	}
}
