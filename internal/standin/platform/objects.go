// Package platform is a stand-in for the platform's object API, with faults
// that can be switched while it runs.
package platform

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxListObjects is the most objects in one answer to a list or watch.
	maxListObjects = 500
	// maxListBytes ends an answer early, so that large objects do not make it
	// unbounded. A list is complete only when an answer is empty.
	maxListBytes = 1 << 20
	// maxHistory is how many changes are kept for watches.
	maxHistory = 4096
)

// Store holds the objects and calls them without HTTP. It is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string]map[string]fleet.Object
	version uint64
	faults  Faults
	calls   CallCounts
	random  *rand.Rand
	// changed is closed and replaced at each write and each change of faults.
	changed chan struct{}
	wait    time.Duration
	observe func(fleet.Object)
	// history holds the latest changes, and dropped is the version of the last
	// change that is not in it.
	history []fleet.ObjectEvent
	dropped uint64
	created map[string]map[string]uint64
}

// New returns an empty store. Random decides which answers are lost.
func New(random *rand.Rand) *Store {
	return &Store{
		objects: map[string]map[string]fleet.Object{},
		random:  random,
		changed: make(chan struct{}),
		wait:    20 * time.Second,
		created: map[string]map[string]uint64{},
	}
}

// Compact drops the history, so that watches from an older version fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.version
	s.announce()
}

// record appends a change to the history. The caller holds the lock.
func (s *Store) record(event fleet.ObjectEvent) {
	s.history = append(s.history, event)
	if over := len(s.history) - maxHistory; over > 0 {
		s.dropped = s.history[over-1].Object.Version
		s.history = slices.Delete(s.history, 0, over)
	}
	s.announce()
}

// Observe lets a function see every write in order. It must not call the store.
func (s *Store) Observe(observe func(fleet.Object)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// CallCounts returns the calls counted so far.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

// Get returns one object.
func (s *Store) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	if !s.begin(ctx, func(c *CallCounts) { c.Get++ }) {
		return fleet.Object{}, fleet.StoreUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return fleet.Object{}, fleet.StoreUnavailable
	}
	object, ok := s.objects[kind][name]
	if !ok {
		return fleet.Object{}, fleet.StoreNotFound
	}
	s.calls.BytesRead += uint64(len(object.Value))
	object.Value = slices.Clone(object.Value)

	return object, fleet.StoreOK
}

// Put writes one object if the condition holds.
func (s *Store) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	outcome, _ := s.put(ctx, object, condition)

	return outcome
}

// put also returns the object's new version.
func (s *Store) put(ctx context.Context, object fleet.Object, condition fleet.Condition) (fleet.StoreOutcome, uint64) {
	if !ValidName(object.Kind) || !ValidName(object.Name) || len(object.Value) > fleet.MaxObjectBytes {
		return fleet.StoreRejected, 0
	}
	// The value is copied before the delay: the caller may reuse its buffer
	// once it has given up.
	object.Value = slices.Clone(object.Value)
	type result struct {
		outcome fleet.StoreOutcome
		version uint64
	}
	done := make(chan result, 1)
	go func() {
		s.begin(context.WithoutCancel(ctx), func(c *CallCounts) { c.Put++ })
		outcome, version := s.apply(object, condition)
		done <- result{outcome, version}
	}()
	select {
	case r := <-done:
		return r.outcome, r.version
	case <-ctx.Done():
		return fleet.StoreAmbiguous, 0
	}
}

func (s *Store) apply(object fleet.Object, condition fleet.Condition) (fleet.StoreOutcome, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return fleet.StoreUnavailable, 0
	}
	if s.objects[object.Kind][object.Name].Version != condition.Version {
		return fleet.StoreConflict, 0
	}
	if s.objects[object.Kind] == nil {
		s.objects[object.Kind] = map[string]fleet.Object{}
		s.created[object.Kind] = map[string]uint64{}
	}
	s.version++
	object.Version = s.version
	if condition.Version == 0 {
		s.created[object.Kind][object.Name] = s.version
	}
	s.objects[object.Kind][object.Name] = object
	s.calls.BytesWritten += uint64(len(object.Value))
	if s.observe != nil {
		s.observe(object)
	}
	s.record(fleet.ObjectEvent{Object: object})
	if s.lose() {
		return fleet.StoreAmbiguous, 0
	}

	return fleet.StoreOK, object.Version
}

// Delete removes one object if it has the version.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) fleet.StoreOutcome {
	if !s.begin(ctx, func(c *CallCounts) { c.Put++ }) {
		return fleet.StoreAmbiguous
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind][name]
	switch {
	case s.faults.Outage:
		return fleet.StoreUnavailable
	case !ok || version != 0 && version != object.Version:
		return fleet.StoreConflict
	}
	delete(s.objects[kind], name)
	s.version++
	object.Version = s.version
	s.record(fleet.ObjectEvent{Object: object, Removed: true})
	if s.lose() {
		return fleet.StoreAmbiguous
	}

	return fleet.StoreOK
}

// Page returns objects whose name is greater than after, in the order of their
// names. It is never stale.
func (s *Store) Page(ctx context.Context, kind, after string, _ bool) (fleet.ObjectPage, fleet.StoreOutcome) {
	if !s.begin(ctx, func(c *CallCounts) { c.List++ }) {
		return fleet.ObjectPage{}, fleet.StoreUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return fleet.ObjectPage{}, fleet.StoreUnavailable
	}
	greater := func(o fleet.Object) bool { return o.Name > after }
	page := fleet.ObjectPage{Revision: s.version, Objects: s.collect(kind, greater, func(a, b fleet.Object) int {
		return strings.Compare(a.Name, b.Name)
	})}
	if len(page.Objects) > 0 {
		page.Last = page.Objects[len(page.Objects)-1].Name
		for name := range s.objects[kind] {
			page.More = page.More || name > page.Last
		}
	}

	return page, fleet.StoreOK
}

// List returns objects whose name is greater than after, in the order of their
// names. The end is reached when none are returned.
func (s *Store) List(ctx context.Context, kind, after string) ([]fleet.Object, fleet.StoreOutcome) {
	if !s.begin(ctx, func(c *CallCounts) { c.List++ }) {
		return nil, fleet.StoreUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, fleet.StoreUnavailable
	}

	return s.collect(kind, func(o fleet.Object) bool { return o.Name > after }, func(a, b fleet.Object) int {
		return strings.Compare(a.Name, b.Name)
	}), fleet.StoreOK
}

func (s *Store) collect(kind string, match func(fleet.Object) bool, order func(a, b fleet.Object) int) []fleet.Object {
	var objects []fleet.Object
	for _, object := range s.objects[kind] {
		if match(object) {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, order)
	size := 0
	for i, object := range objects {
		size += len(object.Value)
		if i == maxListObjects || i > 0 && size > maxListBytes {
			objects = objects[:i]

			break
		}
	}
	for i := range objects {
		s.calls.BytesRead += uint64(len(objects[i].Value))
		objects[i].Value = slices.Clone(objects[i].Value)
	}

	return objects
}

// ValidName reports whether a kind or name has the form that the store accepts.
func ValidName(name string) bool {
	if name == "" || len(name) > 200 {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("-_.:", rune(c)) {
			return false
		}
	}

	return name != "." && name != ".."
}
