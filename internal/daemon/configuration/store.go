package configuration

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// relayPollInterval is how often a daemon checks whether it has become a relay. It is
// short because both relays of an availability zone may stop at the same time.
const relayPollInterval = time.Second

// contactTracker wraps the store and records when it last answered.
type contactTracker struct {
	publication.Store
	contact atomic.Pointer[time.Time]
}

// record stores the current time as the last contact if the outcome shows that the store
// answered. It returns the outcome.
func (s *contactTracker) record(outcome fleet.StoreOutcome) fleet.StoreOutcome {
	if outcome != fleet.StoreUnavailable && outcome != fleet.StoreAmbiguous {
		now := time.Now()
		s.contact.Store(&now)
	}

	return outcome
}

// lastContact returns when the store last answered, or the zero time.
func (s *contactTracker) lastContact() time.Time {
	if at := s.contact.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

// Get returns the result of the store's Get and records whether the store answered.
func (s *contactTracker) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	object, outcome := s.Store.Get(ctx, kind, name)

	return object, s.record(outcome)
}

// Put returns the outcome of the store's Put and records whether the store answered.
func (s *contactTracker) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	return s.record(s.Store.Put(ctx, object, condition))
}

// Watch returns the result of the store's Watch and records whether the store answered.
func (s *contactTracker) Watch(ctx context.Context, kind string, afterVersion uint64) ([]fleet.Object, fleet.StoreOutcome) {
	objects, outcome := s.Store.Watch(ctx, kind, afterVersion)

	return objects, s.record(outcome)
}

// watch watches the objects of a kind in the store while this daemon is a relay. It
// calls onChange with each object that exists or changes.
func (l *Loader) watch(ctx context.Context, kind string, random *rand.Rand, onChange func(fleet.Object)) {
	var afterVersion uint64
	for failures := 0; ctx.Err() == nil; {
		if !l.Membership.IsRelay() {
			sleep(ctx, relayPollInterval)

			continue
		}
		began := time.Now()
		objects, outcome := l.store.Watch(ctx, kind, afterVersion)
		if outcome != fleet.StoreOK {
			sleep(ctx, retryDelay(failures, random))
			failures++

			continue
		}
		failures = 0
		for _, object := range objects {
			afterVersion = max(afterVersion, object.Version)
			onChange(object)
		}
		if kind == keystore.Kind {
			l.keyReadAt.Store(&began)
		}
	}
}

// watchManifest watches the manifest in the store and passes the newest one to
// installLoop.
func (l *Loader) watchManifest(ctx context.Context, random *rand.Rand) {
	l.watch(ctx, publication.ManifestKind, random, func(object fleet.Object) {
		if object.Name != publication.ManifestName {
			return
		}
		select {
		case l.manifestUpdates <- object.Value:
		default:
			// Replace the earlier manifest that installLoop has not received yet.
			select {
			case <-l.manifestUpdates:
			default:
			}
			l.manifestUpdates <- object.Value
		}
	})
}
