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

// relayCheck is how often a daemon that is no relay looks whether it became
// one. Two relays of an availability zone may stop at the same time.
const relayCheck = time.Second

// contactStore remembers when the store last answered.
type contactStore struct {
	publication.Store
	contact atomic.Pointer[time.Time]
}

func (s *contactStore) note(outcome fleet.StoreOutcome) fleet.StoreOutcome {
	if outcome != fleet.StoreUnavailable && outcome != fleet.StoreAmbiguous {
		now := time.Now()
		s.contact.Store(&now)
	}

	return outcome
}

func (s *contactStore) last() time.Time {
	if at := s.contact.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

func (s *contactStore) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	object, outcome := s.Store.Get(ctx, kind, name)

	return object, s.note(outcome)
}

func (s *contactStore) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	return s.note(s.Store.Put(ctx, object, condition))
}

func (s *contactStore) Watch(ctx context.Context, kind string, since uint64) ([]fleet.Object, fleet.StoreOutcome) {
	objects, outcome := s.Store.Watch(ctx, kind, since)

	return objects, s.note(outcome)
}

// watch calls changed with each object of a kind, while this daemon is a relay.
func (l *Loader) watch(ctx context.Context, kind string, random *rand.Rand, changed func(fleet.Object)) {
	var since uint64
	for failures := 0; ctx.Err() == nil; {
		if !l.Membership.IsRelay() {
			sleep(ctx, relayCheck)

			continue
		}
		began := time.Now()
		objects, outcome := l.store.Watch(ctx, kind, since)
		if outcome != fleet.StoreOK {
			sleep(ctx, backOff(failures, random))
			failures++

			continue
		}
		failures = 0
		for _, object := range objects {
			since = max(since, object.Version)
			changed(object)
		}
		if kind == keystore.Kind {
			l.keysRead.Store(&began)
		}
	}
}

// watchManifest passes the latest manifest to the goroutine that installs it.
func (l *Loader) watchManifest(ctx context.Context, random *rand.Rand) {
	l.watch(ctx, publication.ManifestKind, random, func(object fleet.Object) {
		if object.Name != publication.ManifestName {
			return
		}
		select {
		case l.heads <- object.Value:
		default:
			// An earlier manifest was not taken yet, and this one replaces it.
			select {
			case <-l.heads:
			default:
			}
			l.heads <- object.Value
		}
	})
}
