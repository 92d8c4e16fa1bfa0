package arbiter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Decision is what the ingress has to respect about one upstream.
type Decision struct {
	State  health.State
	Reason string
	// Arbiter is the daemon that decided.
	Arbiter string
}

// held is a published ejection as this daemon received it.
type held struct {
	entry    fleet.Entry
	ejection health.Ejection
	// validUntil is by the local clock, from receipt.
	validUntil time.Time
}

// view is this daemon's copy of the published ejections.
type view struct {
	mutex sync.RWMutex
	held  map[string]held
}

func newView() *view {
	return &view{held: map[string]held{}}
}

// take keeps an entry that is newer than the one it has for the upstream. The
// validity begins again only then, so that repeated receipt extends nothing.
func (v *view) take(entry fleet.Entry, now time.Time) error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if old, ok := v.held[entry.Key]; ok && !entry.Newer(old.entry) {
		return nil
	}
	var p peerpb.Ejection
	if err := proto.Unmarshal(entry.Value, &p); err != nil {
		return fmt.Errorf("ejection entry %q: %w", entry.Key, err)
	}
	if p.GetUpstream() != entry.Key {
		return fmt.Errorf("ejection entry %q names upstream %q", entry.Key, p.GetUpstream())
	}
	state := health.State(p.GetState())
	if state > health.Probation {
		return errors.New("ejection entry with unknown state")
	}
	backoff := min(max(time.Duration(p.GetBackoffNanoseconds()), 0), health.MaxBackoff)
	v.held[entry.Key] = held{
		entry: entry,
		ejection: health.Ejection{
			Service: p.GetService(), Upstream: p.GetUpstream(), State: state, Reason: p.GetReason(),
			Arbiter: p.GetArbiter(), Level: int(min(p.GetLevel(), health.MaxLevel)), Until: now.Add(backoff),
		},
		validUntil: now.Add(min(time.Duration(p.GetValidNanoseconds()), health.EjectionTTL)),
	}

	return nil
}

func (v *view) state(service, upstream string, now time.Time) Decision {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	h, ok := v.held[upstream]
	if !ok || h.ejection.Service != service || h.ejection.State == health.None || !now.Before(h.validUntil) {
		return Decision{}
	}

	return Decision{State: h.ejection.State, Reason: h.ejection.Reason, Arbiter: h.ejection.Arbiter}
}

// known returns the ejections of a service for its new arbiter. Those that
// have expired here are among them, with their backoff over: the arbiter's
// next publication replaces their entries for daemons that join later.
func (v *view) known(service string, now time.Time) (all []health.Ejection) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for _, h := range v.held {
		if h.ejection.Service != service {
			continue
		}
		e := h.ejection
		if !now.Before(h.validUntil) {
			e.Until = now
		}
		all = append(all, e)
	}

	return all
}

// entry returns the newest entry of an upstream, or a zero entry.
func (v *view) entry(upstream string) fleet.Entry {
	v.mutex.RLock()
	defer v.mutex.RUnlock()

	return v.held[upstream].entry
}

// follow keeps the view up to date.
func (a *Arbiter) follow(ctx context.Context) {
	newer, end := a.ports.Entries.Subscribe(fleet.KindEjection)
	defer end()
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	a.readAll()
	for {
		select {
		case <-ctx.Done():
			return
		case entry, ok := <-newer:
			if !ok {
				newer = nil

				continue
			}
			a.take(entry)
		case <-ticker.C:
			a.readAll()
		}
	}
}

func (a *Arbiter) readAll() {
	a.ports.Entries.Range(fleet.KindEjection, a.take)
}

func (a *Arbiter) take(entry fleet.Entry) {
	if err := a.view.take(entry, time.Now()); err != nil {
		a.losses.Malformed.Add(1)
	}
}
