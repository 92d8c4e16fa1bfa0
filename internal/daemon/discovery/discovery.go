// Package discovery lets daemons find each other through the store. Each daemon
// keeps an object with its address there while it runs.
package discovery

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// ObjectKind is the store's kind of the daemons' objects, which have their names.
	ObjectKind = "Daemons"
	// callTimeout bounds one call of the store, which answers in milliseconds.
	callTimeout = 2 * time.Second
	// firstRetry and maxRetry bound the pause after a call that failed.
	firstRetry = 200 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// Store reads and writes objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
	Delete(ctx context.Context, kind, name string, version uint64) fleet.StoreOutcome
	Page(ctx context.Context, kind, after string, stale bool) (fleet.ObjectPage, fleet.StoreOutcome)
}

// registration is the value of a daemon's object.
type registration struct {
	PeerAddress netip.AddrPort
}

// Registry is this daemon's part in the discovery.
type Registry struct {
	name    string
	address netip.AddrPort
	store   Store
	log     *slog.Logger

	// mu guards random.
	mu     sync.Mutex
	random *rand.Rand
}

// New returns the registry of a daemon, which registers it in the background,
// and a function that ends this.
func New(name string, address netip.AddrPort, store Store, random *rand.Rand, log *slog.Logger) (*Registry, func()) {
	r := &Registry{name: name, address: address, store: store, random: random, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.register(ctx) })

	return r, func() {
		cancel()
		running.Wait()
	}
}

// register writes the daemon's object until the store has it.
func (r *Registry) register(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if r.write(ctx) {
			r.log.Info("registered", "kind", ObjectKind, "address", r.address)

			return
		}
		pause := min(firstRetry<<min(failures, 8), maxRetry)
		r.mu.Lock()
		pause = pause/2 + time.Duration(r.random.Int64N(int64(pause/2)))
		r.mu.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// write creates or replaces the object, and reports whether it is known to hold
// the daemon's address.
func (r *Registry) write(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(registration{r.address})
	if err != nil {
		panic("encoding a registration: " + err.Error()) // addresses can always be encoded
	}
	object := fleet.Object{Kind: ObjectKind, Name: r.name, Value: value}
	if r.store.Put(ctx, object, fleet.IfAbsent) == fleet.StoreOK {
		return true
	}
	found, outcome := r.store.Get(ctx, ObjectKind, r.name)
	if outcome != fleet.StoreOK {
		return false
	}
	var known registration
	if json.Unmarshal(found.Value, &known) == nil && known.PeerAddress == r.address {
		return true
	}

	return r.store.Put(ctx, object, fleet.IfVersion(found.Version)) == fleet.StoreOK
}

// Peers returns the addresses of up to count other daemons, chosen at random.
func (r *Registry) Peers(ctx context.Context, count int) []netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var found []netip.AddrPort
	for after := ""; ; {
		page, outcome := r.store.Page(ctx, ObjectKind, after, false)
		if outcome != fleet.StoreOK {
			break
		}
		for _, object := range page.Objects {
			var known registration
			if object.Name != r.name && json.Unmarshal(object.Value, &known) == nil && known.PeerAddress.IsValid() {
				found = append(found, known.PeerAddress)
			}
		}
		if !page.More {
			break
		}
		after = page.Last
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })

	return found[:min(count, len(found))]
}

// Deregister removes the daemon's object. It reports whether it is gone.
func (r *Registry) Deregister(ctx context.Context) bool {
	found, outcome := r.store.Get(ctx, ObjectKind, r.name)
	if outcome == fleet.StoreNotFound {
		return true
	}

	return outcome == fleet.StoreOK && r.store.Delete(ctx, ObjectKind, r.name, found.Version) == fleet.StoreOK
}
