// Package platform is a stand-in for the platform's object API. Its faults can be
// changed while it runs.
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
	// maxListObjects is the maximum number of objects in one answer to a list or watch.
	maxListObjects = 500
	// maxListBytes bounds the size of an answer with large objects. It applies
	// from the second object on, so one larger object is still returned. Since an
	// answer can end early, a list is complete only when an answer is empty.
	maxListBytes = 1 << 20
	// maxHistory is the number of changes retained for watches.
	maxHistory = 4096
)

// Store is an in-memory object store. Its methods can be called directly, without
// HTTP. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// objects holds the current objects by kind and name.
	objects map[string]map[string]fleet.Object
	// version is the version of the latest change to any object.
	version uint64
	faults  Faults
	calls   CallCounts
	random  *rand.Rand
	// changeSignal is closed and replaced at each write and each change of faults,
	// which wakes waiting watches.
	changeSignal chan struct{}
	watchTimeout time.Duration
	observer     func(fleet.Object)
	// history holds the latest changes, oldest first. droppedVersion is the version
	// of the newest change that was removed from it.
	history         []fleet.ObjectEvent
	droppedVersion  uint64
	createdVersions map[string]map[string]uint64
}

// New returns an empty store. The random source decides which answers are lost
// when Faults.LoseAnswers is a fraction.
func New(random *rand.Rand) *Store {
	return &Store{
		objects:         map[string]map[string]fleet.Object{},
		random:          random,
		changeSignal:    make(chan struct{}),
		watchTimeout:    20 * time.Second,
		createdVersions: map[string]map[string]uint64{},
	}
}

// Compact discards the history, so that Events from an older version returns
// StoreCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
	s.notifyWatchers()
}

// appendHistory appends a change to the history, removes the oldest changes beyond
// maxHistory and wakes waiting watches. The caller holds the lock.
func (s *Store) appendHistory(event fleet.ObjectEvent) {
	s.history = append(s.history, event)
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.droppedVersion = s.history[excess-1].Object.Version
		s.history = slices.Delete(s.history, 0, excess)
	}
	s.notifyWatchers()
}

// Observe sets the function that is called with every object that Put writes, in
// the order of versions. It runs under the store's lock and must not call the store.
func (s *Store) Observe(observe func(fleet.Object)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observe
}

// CallCounts returns the calls counted since the store was created.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

// Get returns one object, with a copy of its value. The outcome is StoreNotFound if
// there is no such object, and StoreUnavailable during an outage or if ctx ends during
// the injected latency.
func (s *Store) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	if !s.startCall(ctx, func(c *CallCounts) { c.Get++ }) {
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

// Put writes one object if its current version matches the condition; otherwise the
// outcome is StoreConflict. An invalid kind or name or a value above
// fleet.MaxObjectBytes gives StoreRejected, and an outage StoreUnavailable. If ctx
// ends first or the answer is lost, the outcome is StoreAmbiguous and the write may
// have taken effect.
func (s *Store) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	outcome, _ := s.putWithVersion(ctx, object, condition)

	return outcome
}

// putWithVersion does what Put does and also returns the object's new version, or 0
// if the write failed or its outcome is ambiguous.
func (s *Store) putWithVersion(ctx context.Context, object fleet.Object, condition fleet.Condition) (fleet.StoreOutcome, uint64) {
	if !ValidName(object.Kind) || !ValidName(object.Name) || len(object.Value) > fleet.MaxObjectBytes {
		return fleet.StoreRejected, 0
	}
	// The value is copied before the injected latency, because a caller that gives
	// up during it may reuse its buffer while the write is still pending.
	object.Value = slices.Clone(object.Value)
	type result struct {
		outcome fleet.StoreOutcome
		version uint64
	}
	done := make(chan result, 1)
	go func() {
		s.startCall(context.WithoutCancel(ctx), func(c *CallCounts) { c.Put++ })
		outcome, version := s.applyPut(object, condition)
		done <- result{outcome, version}
	}()
	select {
	case r := <-done:
		return r.outcome, r.version
	case <-ctx.Done():
		return fleet.StoreAmbiguous, 0
	}
}

// applyPut checks the condition and writes the object.
func (s *Store) applyPut(object fleet.Object, condition fleet.Condition) (fleet.StoreOutcome, uint64) {
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
		s.createdVersions[object.Kind] = map[string]uint64{}
	}
	s.version++
	object.Version = s.version
	if condition.Version == 0 {
		s.createdVersions[object.Kind][object.Name] = s.version
	}
	s.objects[object.Kind][object.Name] = object
	s.calls.BytesWritten += uint64(len(object.Value))
	if s.observer != nil {
		s.observer(object)
	}
	s.appendHistory(fleet.ObjectEvent{Object: object})
	if s.losesAnswer() {
		return fleet.StoreAmbiguous, 0
	}

	return fleet.StoreOK, object.Version
}

// Delete removes one object if it has the given version; 0 matches any version. The
// outcome is StoreConflict if the version differs or the object does not exist,
// StoreUnavailable during an outage, and StoreAmbiguous if ctx ends before the delete
// or the answer is lost.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) fleet.StoreOutcome {
	if !s.startCall(ctx, func(c *CallCounts) { c.Put++ }) {
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
	s.appendHistory(fleet.ObjectEvent{Object: object, Removed: true})
	if s.losesAnswer() {
		return fleet.StoreAmbiguous
	}

	return fleet.StoreOK
}

// Page returns objects of a kind whose name is greater than after, sorted by name.
// The page is always current, also if the caller accepts stale objects. The outcome is
// StoreUnavailable during an outage or if ctx ends during the injected latency.
func (s *Store) Page(ctx context.Context, kind, after string, _ bool) (fleet.ObjectPage, fleet.StoreOutcome) {
	if !s.startCall(ctx, func(c *CallCounts) { c.List++ }) {
		return fleet.ObjectPage{}, fleet.StoreUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return fleet.ObjectPage{}, fleet.StoreUnavailable
	}
	isAfter := func(o fleet.Object) bool { return o.Name > after }
	page := fleet.ObjectPage{Revision: s.version, Objects: s.selectObjects(kind, isAfter, func(a, b fleet.Object) int {
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

// List returns objects of a kind whose name is greater than after, sorted by name.
// An empty answer marks the end of the list. The outcome is StoreUnavailable during an
// outage or if ctx ends during the injected latency.
func (s *Store) List(ctx context.Context, kind, after string) ([]fleet.Object, fleet.StoreOutcome) {
	if !s.startCall(ctx, func(c *CallCounts) { c.List++ }) {
		return nil, fleet.StoreUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, fleet.StoreUnavailable
	}

	return s.selectObjects(kind, func(o fleet.Object) bool { return o.Name > after }, func(a, b fleet.Object) int {
		return strings.Compare(a.Name, b.Name)
	}), fleet.StoreOK
}

// selectObjects returns copies of the objects that match, sorted and cut off at
// maxListObjects and maxListBytes. The caller holds the lock.
func (s *Store) selectObjects(kind string, match func(fleet.Object) bool, order func(a, b fleet.Object) int) []fleet.Object {
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

// ValidName reports whether the store accepts a kind or name: 1 to 200 ASCII letters,
// digits, '-', '_', '.' or ':', except "." and "..".
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
