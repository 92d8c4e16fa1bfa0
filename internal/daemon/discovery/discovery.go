// Package discovery lets daemons find each other through the store. Each daemon
// registers there by an object with its address, which it deletes when it leaves.
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
	// ObjectKind is the kind of the daemons' objects in the store. The name of an object
	// is the name of its daemon.
	ObjectKind = "Daemons"
	// callTimeout bounds one attempt to register and one search for other daemons. The
	// store usually answers in milliseconds.
	callTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed attempt to
	// register, before it is randomized.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Store reads and writes objects of the platform's store.
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

// Registry registers this daemon in the store and finds other daemons there. It is safe
// for concurrent use.
type Registry struct {
	name    string
	address netip.AddrPort
	store   Store
	log     *slog.Logger

	// mu protects random.
	mu     sync.Mutex
	random *rand.Rand
}

// New returns the registry of a daemon with the given name and peer address, and starts to
// register the daemon in the background. The returned function stops these attempts and
// waits until their goroutine has ended. It does not remove the registration.
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

// register tries to write the daemon's object until that succeeds or ctx ends.
func (r *Registry) register(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if r.writeRegistration(ctx) {
			r.log.Info("daemon registered in the store", "kind", ObjectKind, "address", r.address)

			return
		}
		delay := min(minRetryDelay<<min(failures, 8), maxRetryDelay)
		r.mu.Lock()
		delay = delay/2 + time.Duration(r.random.Int64N(int64(delay/2)))
		r.mu.Unlock()
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// writeRegistration creates or replaces the daemon's object. It reports whether the
// object is known to hold the daemon's current address.
func (r *Registry) writeRegistration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(registration{r.address})
	if err != nil {
		panic("discovery: encode registration: " + err.Error()) // addresses can always be encoded
	}
	object := fleet.Object{Kind: ObjectKind, Name: r.name, Value: value}
	if r.store.Put(ctx, object, fleet.IfAbsent) == fleet.StoreOK {
		return true
	}
	stored, outcome := r.store.Get(ctx, ObjectKind, r.name)
	if outcome != fleet.StoreOK {
		return false
	}
	var registered registration
	if json.Unmarshal(stored.Value, &registered) == nil && registered.PeerAddress == r.address {
		return true
	}

	return r.store.Put(ctx, object, fleet.IfVersion(stored.Version)) == fleet.StoreOK
}

// Peers returns the peer addresses of up to count other registered daemons, chosen at
// random. If the store does not answer, the result has the addresses read so far.
func (r *Registry) Peers(ctx context.Context, count int) []netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var addresses []netip.AddrPort
	for after := ""; ; {
		page, outcome := r.store.Page(ctx, ObjectKind, after, false)
		if outcome != fleet.StoreOK {
			break
		}
		for _, object := range page.Objects {
			var registered registration
			if object.Name != r.name && json.Unmarshal(object.Value, &registered) == nil && fleet.ValidEndpoint(registered.PeerAddress) {
				addresses = append(addresses, registered.PeerAddress)
			}
		}
		if !page.More {
			break
		}
		after = page.Last
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })

	return addresses[:min(count, len(addresses))]
}

// Deregister removes the daemon's object. It reports whether the store confirmed that
// the object does not exist any more.
func (r *Registry) Deregister(ctx context.Context) bool {
	stored, outcome := r.store.Get(ctx, ObjectKind, r.name)
	if outcome == fleet.StoreNotFound {
		return true
	}

	return outcome == fleet.StoreOK && r.store.Delete(ctx, ObjectKind, r.name, stored.Version) == fleet.StoreOK
}
