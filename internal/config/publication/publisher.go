package publication

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// firstBackoff is a few times the store's answer time of milliseconds.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff keeps a waiting publisher below one call per second on average.
	maxBackoff = 2 * time.Second
)

// Outcome is the result of a publication.
type Outcome int

// Outcomes of a publication.
const (
	// Accepted means that the publication is in the manifest.
	Accepted Outcome = iota + 1
	// Rejected means that there are findings; nothing was changed.
	Rejected
	// Conflict means that another publication changed one of the teams in the
	// meantime; nothing was changed.
	Conflict
	// Unavailable means that the store did not answer; nothing was changed.
	Unavailable
	// Unknown means that the publication may have been accepted, or may still be.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Invalid", "Accepted", "Rejected", "Conflict", "Unavailable", "Unknown"}[o]
}

// Change is what one publication changes.
type Change struct {
	// ID is unique. Publishing again with the same ID changes nothing if the
	// first time was accepted.
	ID ID
	// Files replace the files of the teams that they name.
	Files []teamfile.File
	// RemovedTeams names teams to remove.
	RemovedTeams []string
	// AnnouncedSlots are the announced slots by service, if known.
	AnnouncedSlots map[string]int
	// Progress, if not nil, is called as steps advance, one call at a time. It
	// must not block. Total is zero if it is not known.
	Progress func(step string, done, total int)
}

// Result is the result of a publication.
type Result struct {
	Outcome Outcome
	// Version is that of the publication, if it was accepted.
	Version uint64
	// OldVersion is the version that it replaced, if it was accepted.
	OldVersion uint64
	Findings   inifile.Findings
	// ConflictingTeams are those in conflict.
	ConflictingTeams []string
}

// Publisher publishes changes to a store.
type Publisher struct {
	store  Store
	random *rand.Rand
}

// NewPublisher returns a publisher. Random spreads the retries of publishers
// that conflict, and is used by one publication at a time.
func NewPublisher(store Store, random *rand.Rand) *Publisher {
	return &Publisher{store: store, random: random}
}

// Publish applies a change. It retries while the store is unavailable or other
// publications intervene, until ctx is done.
func (p *Publisher) Publish(ctx context.Context, change Change) Result {
	run := &run{publisher: p, change: change, put: map[string]string{}, contents: map[string][]byte{}}
	if findings := run.check(); len(findings) > 0 {
		return Result{Outcome: Rejected, Findings: findings}
	}

	return run.publish(ctx)
}

// run is the state of one publication.
type run struct {
	publisher *Publisher
	change    Change
	// put is the hash of each team's new file.
	put map[string]string
	// contents holds the parts read or written so far, by hash.
	contents map[string][]byte
	// snapshot is the version last read, which need not be valid.
	snapshot *Snapshot
	// malformed says why the store's manifest cannot be read.
	malformed inifile.Findings
	// pending says that a write of the manifest may have taken effect or still
	// may.
	pending bool
}

// check validates the files by themselves.
func (r *run) check() inifile.Findings {
	var findings inifile.Findings
	removed := map[string]bool{}
	for _, team := range r.change.RemovedTeams {
		if !inifile.IsIdentifier(team) || removed[team] {
			findings = append(findings, inifile.Finding{
				File: "removal", Key: "Team", Problem: fmt.Sprintf("%q is not a name, or is given twice", team), Expected: inifile.IdentifierForm,
			})
		}
		removed[team] = true
	}
	for _, file := range r.change.Files {
		parsed, found := teamfile.Parse(file)
		findings = append(findings, found...)
		if len(file.Content) > fleet.MaxObjectBytes {
			findings = append(findings, inifile.Finding{
				File: file.Name, Problem: fmt.Sprintf("has %d bytes", len(file.Content)), Expected: fmt.Sprintf("at most %d", fleet.MaxObjectBytes),
			})
		}
		team := parsed.Team.Name
		if _, twice := r.put[team]; twice || removed[team] {
			findings = append(findings, inifile.Finding{
				File: file.Name, Key: "Team", Problem: fmt.Sprintf("%q is also changed by another file or removed", team), Expected: "one change per team",
			})
		}
		hash := Hash(file.Content)
		r.put[team] = hash
		r.contents[hash] = bytes.Clone(file.Content)
	}
	if len(r.change.Files)+len(r.change.RemovedTeams) == 0 {
		findings = append(findings, inifile.Finding{File: "publication", Problem: "changes no team", Expected: "a team file or a team to remove"})
	}

	return findings
}

// place is the manifest as read, with the version of its object.
type place struct {
	manifest Manifest
	object   uint64
}

func (r *run) publish(ctx context.Context) Result {
	first, ok := r.read(ctx)
	if !ok {
		return r.stopped()
	}
	for current := first; ; {
		if version, ok := current.manifest.VersionOf(r.change.ID); ok {
			return Result{Outcome: Accepted, Version: version, OldVersion: version - 1}
		}
		if teams := r.conflicts(first.manifest, current.manifest); len(teams) > 0 {
			return Result{Outcome: Conflict, ConflictingTeams: teams}
		}
		next := current.manifest.next(r.change.ID, r.put, r.change.RemovedTeams)
		if findings := r.validate(current.manifest, next); len(findings) > 0 {
			return Result{Outcome: Rejected, Findings: findings}
		}
		outcome, ok := r.write(ctx, current, next)
		if !ok {
			return r.stopped()
		}
		if outcome == fleet.StoreOK {
			return Result{Outcome: Accepted, Version: next.Version, OldVersion: current.manifest.Version}
		}
		r.pending = r.pending || outcome == fleet.StoreAmbiguous
		latest, ok := r.read(ctx)
		if !ok {
			return r.stopped()
		}
		if latest.object != current.object {
			_, accepted := latest.manifest.VersionOf(r.change.ID)
			if r.pending && !accepted && !latest.manifest.covers(current.manifest.Version+1) {
				return r.stopped()
			}
			// The condition of every earlier write no longer holds.
			r.pending = false
		}
		current = latest
	}
}

// stopped returns the result where nothing more can be found out.
func (r *run) stopped() Result {
	switch {
	case r.pending:
		return Result{Outcome: Unknown}
	case len(r.malformed) > 0:
		return Result{Outcome: Rejected, Findings: r.malformed}
	}

	return Result{Outcome: Unavailable}
}

// conflicts returns the changed teams that others changed since first.
func (r *run) conflicts(first, current Manifest) []string {
	var teams []string
	for team := range r.put {
		if first.Parts[team] != current.Parts[team] {
			teams = append(teams, team)
		}
	}
	for _, team := range r.change.RemovedTeams {
		if first.Parts[team] != current.Parts[team] {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)

	return teams
}

// read returns the manifest with all parts, and retries until ctx is done.
func (r *run) read(ctx context.Context) (place, bool) {
	for attempt := 0; ; attempt++ {
		object, outcome := r.publisher.store.Get(ctx, ManifestKind, ManifestName)
		switch outcome {
		case fleet.StoreNotFound:
			return place{}, true
		case fleet.StoreOK:
			if r.snapshot == nil || !bytes.Equal(r.snapshot.Head, object.Value) {
				source := &countedSource{Source: NewStoreSource(r.publisher.store, object.Value), run: r}
				snapshot, loaded, findings := assemble(ctx, r.snapshot, source)
				if loaded == LoadInvalid {
					r.malformed = findings

					return place{}, false
				}
				if loaded != LoadInstalled {
					break
				}
				r.snapshot = snapshot
			}

			return place{r.snapshot.Manifest, object.Version}, true
		}
		if !r.backOff(ctx, attempt) {
			return place{}, false
		}
	}
}

// countedSource reports progress on reading parts.
type countedSource struct {
	Source
	run  *run
	mu   sync.Mutex
	done int
}

func (s *countedSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	content, ok := s.Source.Part(ctx, hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done++
	s.run.progress("reading the published configuration", s.done, 0)

	return content, ok
}

// validate checks the whole configuration after the change.
func (r *run) validate(current, next Manifest) inifile.Findings {
	var findings inifile.Findings
	for _, team := range r.change.RemovedTeams {
		if _, ok := current.Parts[team]; !ok {
			findings = append(findings, inifile.Finding{File: "removal", Key: "Team", Problem: fmt.Sprintf("no team %q is published", team)})
		}
	}
	var all []teamfile.ParsedFile
	for _, team := range slices.Sorted(maps.Keys(next.Parts)) {
		if _, changed := r.put[team]; !changed {
			f := r.snapshot.files[next.Parts[team].Hash]
			findings = append(findings, f.findings...)
			all = append(all, f.parsed)
		}
	}
	for _, file := range r.change.Files {
		parsed, _ := teamfile.Parse(file)
		all = append(all, parsed)
	}
	_, found := teamfile.Combine(next.Version, all, r.change.AnnouncedSlots)
	encoded, buckets := Encode(next)
	for _, content := range buckets {
		if len(content) > fleet.MaxObjectBytes || len(encoded) > fleet.MaxObjectBytes {
			found = append(found, inifile.Finding{File: "manifest", Problem: "is too large for the store", Expected: "fewer teams"})
		}
	}

	return append(findings, found...)
}

// write stores the new parts and then the manifest. The outcome is that of the
// manifest. It returns false if ctx ended before the manifest was written.
func (r *run) write(ctx context.Context, current place, next Manifest) (fleet.StoreOutcome, bool) {
	encoded, buckets := Encode(next)
	var parts [][]byte
	for _, hash := range r.put {
		parts = append(parts, r.contents[hash])
	}
	for hash, content := range buckets {
		if _, known := r.snapshot.Part(hash); !known {
			parts = append(parts, content)
		}
	}
	for i, content := range parts {
		r.progress("writing parts", i, len(parts))
		if !r.writePart(ctx, content) {
			return fleet.StoreUnavailable, false
		}
	}
	r.progress("writing the manifest", len(parts), len(parts))
	condition := fleet.IfAbsent
	if current.object > 0 {
		condition = fleet.IfVersion(current.object)
	}
	outcome := r.publisher.store.Put(ctx, fleet.Object{Kind: ManifestKind, Name: ManifestName, Value: encoded}, condition)
	if outcome != fleet.StoreOK && !r.backOff(ctx, 0) {
		r.pending = r.pending || outcome == fleet.StoreAmbiguous

		return outcome, false
	}

	return outcome, true
}

// writePart stores a part, and retries until ctx is done. A conflict means that
// the part exists, and its name ensures that the content is the same.
func (r *run) writePart(ctx context.Context, content []byte) bool {
	object := fleet.Object{Kind: PartKind, Name: Hash(content), Value: content}
	for attempt := 0; ; attempt++ {
		switch r.publisher.store.Put(ctx, object, fleet.IfAbsent) {
		case fleet.StoreOK, fleet.StoreConflict:
			return true
		}
		if !r.backOff(ctx, attempt) {
			return false
		}
	}
}

// backOff waits before another attempt. It returns false if ctx is done.
func (r *run) backOff(ctx context.Context, attempt int) bool {
	wait := min(firstBackoff<<min(attempt, 10), maxBackoff)
	wait = wait/2 + time.Duration(r.publisher.random.Int64N(int64(wait)))
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) progress(step string, done, total int) {
	if r.change.Progress != nil {
		r.change.Progress(step, done, total)
	}
}
