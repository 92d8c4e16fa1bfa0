// Package discovery lets daemons find each other through the store. Each daemon registers
// there by an object with its address, which it deletes when it leaves. The object also has
// what the next run of the daemon must know: the departures of upstreams that this run has
// acknowledged.
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

// registration is the value of a daemon's object. A departure is decoded on its own, so that
// one that cannot be read does not hide the others.
type registration struct {
	PeerAddress netip.AddrPort
	Departures  []json.RawMessage `json:",omitempty"`
}

// decodeRegistration decodes the value of a daemon's object. It returns false and an empty
// registration if the value is malformed.
func decodeRegistration(value []byte) (registration, bool) {
	var registered registration
	if json.Unmarshal(value, &registered) != nil {
		return registration{}, false
	}

	return registered, true
}

// Registry registers this daemon in the store and finds other daemons there. It is safe
// for concurrent use.
type Registry struct {
	name    string
	address netip.AddrPort
	store   Store
	log     *slog.Logger

	// mu protects random and record.
	mu     sync.Mutex
	random *rand.Rand
	record record
}

// New returns the registry of a daemon with the given name and peer address, and starts to
// register the daemon in the background. The returned function stops these attempts and
// waits until their goroutine has ended. It does not remove the registration.
func New(name string, address netip.AddrPort, store Store, random *rand.Rand, log *slog.Logger) (*Registry, func()) {
	r := &Registry{name: name, address: address, store: store, random: random, log: log, record: newRecord()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.maintain(ctx) })

	return r, func() {
		cancel()
		running.Wait()
	}
}

// maintain writes the daemon's object, and again after each change of it, until ctx ends.
func (r *Registry) maintain(ctx context.Context) {
	registered := false
	for failures := 0; ctx.Err() == nil; {
		if !r.write(ctx) {
			r.pause(ctx, failures)
			failures++

			continue
		}
		failures = 0
		if !registered {
			registered = true
			r.log.Info("daemon registered in the store", "kind", ObjectKind, "address", r.address)
		}
		select {
		case <-r.record.changed:
		case <-ctx.Done():
		}
	}
}

// pause waits before the next attempt to write the object.
func (r *Registry) pause(ctx context.Context, failures int) {
	delay := min(minRetryDelay<<min(failures, 8), maxRetryDelay)
	r.mu.Lock()
	delay = delay/2 + time.Duration(r.random.Int64N(int64(delay/2)))
	r.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// write creates or replaces the daemon's object. It reports whether the object is known to
// hold what the daemon has to say. The departures that it holds from an earlier run are kept.
func (r *Registry) write(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	isRestored := r.record.isRestored
	r.mu.Unlock()
	if !isRestored {
		// The object usually does not exist before the first run of a daemon.
		object, generation := r.object()
		if r.store.Put(ctx, object, fleet.IfAbsent) == fleet.StoreOK {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.record.restore(nil, time.Now())
			r.record.setWritten(generation)

			return true
		}
	}
	stored, outcome := r.store.Get(ctx, ObjectKind, r.name)
	condition := fleet.IfVersion(stored.Version)
	switch outcome {
	case fleet.StoreOK:
	case fleet.StoreNotFound:
		condition = fleet.IfAbsent
	default:
		return false
	}
	registered, _ := decodeRegistration(stored.Value)
	r.mu.Lock()
	r.record.restore(decodeDepartures(registered.Departures, time.Now()), time.Now())
	isCurrent := registered.PeerAddress == r.address && r.record.written == r.record.generation
	r.mu.Unlock()
	if isCurrent {
		return true
	}
	object, generation := r.object()
	if r.store.Put(ctx, object, condition) != fleet.StoreOK {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.setWritten(generation)

	return true
}

// object returns the daemon's object, and the generation of the departures in it.
func (r *Registry) object() (fleet.Object, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, err := json.Marshal(struct {
		PeerAddress netip.AddrPort
		Departures  []fleet.Departure `json:",omitempty"`
	}{r.address, r.record.departures})
	if err != nil {
		panic("discovery: encode registration: " + err.Error()) // addresses and departures can always be encoded
	}

	return fleet.Object{Kind: ObjectKind, Name: r.name, Value: value}, r.record.generation
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
			registered, ok := decodeRegistration(object.Value)
			if ok && object.Name != r.name && fleet.ValidEndpoint(registered.PeerAddress) {
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
