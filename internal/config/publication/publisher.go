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
	// firstBackoff is the mean wait after the first failed call. It is a few times
	// the store's response time, which is in the order of milliseconds.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff is the highest mean wait between calls. It keeps a publisher that
	// retries below one call per second on average.
	maxBackoff = 2 * time.Second
)

// Outcome is the result of a publication.
type Outcome int

// The outcomes of a publication.
const (
	// Accepted means that the published version is in the manifest.
	Accepted Outcome = iota + 1
	// Rejected means that the change is invalid, as listed in the findings; nothing
	// was changed.
	Rejected
	// Conflict means that another publication changed one of the same teams after
	// this one had read the manifest; nothing was changed.
	Conflict
	// Unavailable means that the store did not answer before the context was done;
	// nothing was changed.
	Unavailable
	// Unknown means that the store did not confirm a write of the manifest, which may
	// have taken effect or may still take effect.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Invalid", "Accepted", "Rejected", "Conflict", "Unavailable", "Unknown"}[o]
}

// Change describes a publication: the team files to store and the teams to remove.
type Change struct {
	// ID is unique to the publication. Publishing again with the same ID changes
	// nothing if the first publication was accepted and is still in the manifest's
	// list.
	ID ID
	// Files are the new team files. Each names its team in its content.
	Files []teamfile.File
	// RemovedTeams names the published teams to remove.
	RemovedTeams []string
	// AnnouncedSlots is the number of slots that the upstreams of each service
	// announce, by service name, or nil if that is unknown.
	AnnouncedSlots map[string]int
	// Progress, if not nil, is called with the name of a step and the number of
	// objects done, whenever it advances. Total is the number of objects of the step,
	// or zero if that is unknown. Calls do not overlap. Progress must not block.
	Progress func(step string, done, total int)
}

// Result is the outcome of a publication with its details.
type Result struct {
	Outcome Outcome
	// Version is the version that the publication created, if it was accepted.
	Version uint64
	// OldVersion is the version that Version replaced, if it was accepted.
	OldVersion uint64
	// Findings are the faults of a rejected publication.
	Findings inifile.Findings
	// ConflictingTeams names the teams of the change that another publication changed
	// in the meantime, if the outcome is Conflict.
	ConflictingTeams []string
}

// Publisher publishes changes to a store. It is not safe for concurrent use.
type Publisher struct {
	store  Store
	random *rand.Rand
}

// NewPublisher returns a publisher that writes to store. It uses random to spread
// the retries of publishers that conflict; random must not be used elsewhere during
// a publication.
func NewPublisher(store Store, random *rand.Rand) *Publisher {
	return &Publisher{store: store, random: random}
}

// Publish validates a change and applies it to the published configuration. It
// retries until ctx is done if the store is unavailable or another publication
// replaces the manifest in between.
func (p *Publisher) Publish(ctx context.Context, change Change) Result {
	state := &publishState{publisher: p, change: change, newHashes: map[string]string{}, contents: map[string][]byte{}}
	if findings := state.validateFiles(); len(findings) > 0 {
		return Result{Outcome: Rejected, Findings: findings}
	}

	return state.publish(ctx)
}

// publishState is the state of one call of Publish.
type publishState struct {
	publisher *Publisher
	change    Change
	// newHashes maps each team with a new file to the hash of that file.
	newHashes map[string]string
	// contents holds the new files by hash.
	contents map[string][]byte
	// snapshot is the last version read from the store. It is complete but may be
	// invalid. It is nil if none was read.
	snapshot *Snapshot
	// malformedFindings describe why the store's manifest cannot be decoded.
	malformedFindings inifile.Findings
	// unresolvedWrite says that a write of the manifest was not confirmed and may
	// have taken effect or may still take effect.
	unresolvedWrite bool
}

// validateFiles validates each file of the change without regard to the published
// configuration and fills newHashes and contents.
func (s *publishState) validateFiles() inifile.Findings {
	var findings inifile.Findings
	removed := map[string]bool{}
	for _, team := range s.change.RemovedTeams {
		if !inifile.IsIdentifier(team) || removed[team] {
			findings = append(findings, inifile.Finding{
				File: "removal", Key: "Team", Problem: fmt.Sprintf("%q is not a name, or is given twice", team), Expected: inifile.IdentifierForm,
			})
		}
		removed[team] = true
	}
	for _, file := range s.change.Files {
		parsed, found := teamfile.Parse(file)
		findings = append(findings, found...)
		if len(file.Content) > fleet.MaxObjectBytes {
			findings = append(findings, inifile.Finding{
				File: file.Name, Problem: fmt.Sprintf("has %d bytes", len(file.Content)), Expected: fmt.Sprintf("at most %d", fleet.MaxObjectBytes),
			})
		}
		team := parsed.Team.Name
		if _, duplicate := s.newHashes[team]; duplicate || removed[team] {
			findings = append(findings, inifile.Finding{
				File: file.Name, Key: "Team", Problem: fmt.Sprintf("%q is also changed by another file or removed", team), Expected: "one change per team",
			})
		}
		hash := Hash(file.Content)
		s.newHashes[team] = hash
		s.contents[hash] = bytes.Clone(file.Content)
	}
	if len(s.change.Files)+len(s.change.RemovedTeams) == 0 {
		findings = append(findings, inifile.Finding{File: "publication", Problem: "changes no team", Expected: "a team file or a team to remove"})
	}

	return findings
}

// storedManifest is a manifest that was read from the store.
type storedManifest struct {
	manifest Manifest
	// objectVersion is the version of the manifest's object in the store, or zero if
	// the store has no manifest.
	objectVersion uint64
}

// publish applies the change to the current manifest and writes the result. If the
// write fails, publish retries with the manifest that is then current, until the result
// is known or ctx is done.
func (s *publishState) publish(ctx context.Context) Result {
	first, ok := s.readManifest(ctx)
	if !ok {
		return s.unfinishedResult()
	}
	for current := first; ; {
		if version, ok := current.manifest.VersionOf(s.change.ID); ok {
			return Result{Outcome: Accepted, Version: version, OldVersion: version - 1}
		}
		if teams := s.conflictingTeams(first.manifest, current.manifest); len(teams) > 0 {
			return Result{Outcome: Conflict, ConflictingTeams: teams}
		}
		next := current.manifest.withChange(s.change.ID, s.newHashes, s.change.RemovedTeams)
		if findings := s.validateConfiguration(current.manifest, next); len(findings) > 0 {
			return Result{Outcome: Rejected, Findings: findings}
		}
		outcome, ok := s.writeManifest(ctx, current, next)
		if !ok {
			return s.unfinishedResult()
		}
		if outcome == fleet.StoreOK {
			return Result{Outcome: Accepted, Version: next.Version, OldVersion: current.manifest.Version}
		}
		s.unresolvedWrite = s.unresolvedWrite || outcome == fleet.StoreAmbiguous
		latest, ok := s.readManifest(ctx)
		if !ok {
			return s.unfinishedResult()
		}
		if latest.objectVersion != current.objectVersion {
			// If an unresolved write took effect, it created the version after current. If
			// the manifest no longer lists that version, it is not known whose publication
			// created it.
			_, accepted := latest.manifest.VersionOf(s.change.ID)
			if s.unresolvedWrite && !accepted && !latest.manifest.listsVersion(current.manifest.Version+1) {
				return s.unfinishedResult()
			}
			// No earlier write can still take effect, because all were conditional on an
			// object version that has been replaced.
			s.unresolvedWrite = false
		}
		current = latest
	}
}

// unfinishedResult returns the result of a publication that ends before the store
// confirms or refutes it.
func (s *publishState) unfinishedResult() Result {
	switch {
	case s.unresolvedWrite:
		return Result{Outcome: Unknown}
	case len(s.malformedFindings) > 0:
		return Result{Outcome: Rejected, Findings: s.malformedFindings}
	}

	return Result{Outcome: Unavailable}
}

// conflictingTeams returns the teams of this change that other publications changed
// between the manifests first and current, sorted by name.
func (s *publishState) conflictingTeams(first, current Manifest) []string {
	var teams []string
	for team := range s.newHashes {
		if first.Parts[team] != current.Parts[team] {
			teams = append(teams, team)
		}
	}
	for _, team := range s.change.RemovedTeams {
		if first.Parts[team] != current.Parts[team] {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)

	return teams
}

// readManifest reads the current manifest with all its parts into s.snapshot. It
// retries until ctx is done. It returns false if ctx is done or the manifest is
// malformed.
func (s *publishState) readManifest(ctx context.Context) (storedManifest, bool) {
	for attempt := 0; ; attempt++ {
		object, outcome := s.publisher.store.Get(ctx, ManifestKind, ManifestName)
		switch outcome {
		case fleet.StoreNotFound:
			return storedManifest{}, true
		case fleet.StoreOK:
			if s.snapshot == nil || !bytes.Equal(s.snapshot.Head, object.Value) {
				source := &progressSource{Source: NewStoreSource(s.publisher.store, object.Value), state: s}
				snapshot, loaded, findings := fetchSnapshot(ctx, s.snapshot, source)
				if loaded == LoadInvalid {
					s.malformedFindings = findings

					return storedManifest{}, false
				}
				if loaded != LoadInstalled {
					break
				}
				s.snapshot = snapshot
			}

			return storedManifest{s.snapshot.Manifest, object.Version}, true
		}
		if !s.backOff(ctx, attempt) {
			return storedManifest{}, false
		}
	}
}

// progressSource is a Source that reports progress for every part that it reads.
type progressSource struct {
	Source
	state   *publishState
	mu      sync.Mutex
	fetched int // number of parts read, guarded by mu
}

func (s *progressSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	content, ok := s.Source.Part(ctx, hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetched++
	s.state.reportProgress("reading the published configuration", s.fetched, 0)

	return content, ok
}

// validateConfiguration returns the faults of the configuration that the manifest
// next describes, and of a removal of teams that current does not contain.
func (s *publishState) validateConfiguration(current, next Manifest) inifile.Findings {
	var findings inifile.Findings
	for _, team := range s.change.RemovedTeams {
		if _, ok := current.Parts[team]; !ok {
			findings = append(findings, inifile.Finding{File: "removal", Key: "Team", Problem: fmt.Sprintf("no team %q is published", team)})
		}
	}
	var all []teamfile.ParsedFile
	for _, team := range slices.Sorted(maps.Keys(next.Parts)) {
		if _, changed := s.newHashes[team]; !changed {
			f := s.snapshot.files[next.Parts[team].Hash]
			findings = append(findings, f.findings...)
			all = append(all, f.parsed)
		}
	}
	for _, file := range s.change.Files {
		parsed, _ := teamfile.Parse(file)
		all = append(all, parsed)
	}
	_, found := teamfile.Combine(next.Version, all, s.change.AnnouncedSlots)
	encoded, buckets := Encode(next)
	for _, content := range buckets {
		if len(content) > fleet.MaxObjectBytes || len(encoded) > fleet.MaxObjectBytes {
			found = append(found, inifile.Finding{File: "manifest", Problem: "is too large for the store", Expected: "fewer teams"})
		}
	}

	return append(findings, found...)
}

// writeManifest writes the new files, the buckets of next that the snapshot does not
// have, and then the head of next. The head is written only if the store still has
// the head of current. It returns the outcome of the write of the head, and false if
// ctx is done before that write or during the wait after it failed.
func (s *publishState) writeManifest(ctx context.Context, current storedManifest, next Manifest) (fleet.StoreOutcome, bool) {
	encoded, buckets := Encode(next)
	var parts [][]byte
	for _, hash := range s.newHashes {
		parts = append(parts, s.contents[hash])
	}
	for hash, content := range buckets {
		if _, known := s.snapshot.Part(hash); !known {
			parts = append(parts, content)
		}
	}
	for i, content := range parts {
		s.reportProgress("writing parts", i, len(parts))
		if !s.writePart(ctx, content) {
			return fleet.StoreUnavailable, false
		}
	}
	s.reportProgress("writing the manifest", len(parts), len(parts))
	condition := fleet.IfAbsent
	if current.objectVersion > 0 {
		condition = fleet.IfVersion(current.objectVersion)
	}
	outcome := s.publisher.store.Put(ctx, fleet.Object{Kind: ManifestKind, Name: ManifestName, Value: encoded}, condition)
	if outcome != fleet.StoreOK && !s.backOff(ctx, 0) {
		s.unresolvedWrite = s.unresolvedWrite || outcome == fleet.StoreAmbiguous

		return outcome, false
	}

	return outcome, true
}

// writePart stores a part. It retries until ctx is done and returns false in that
// case. A conflict means that the part exists already; its name is the hash of its
// content, so that the content is the same.
func (s *publishState) writePart(ctx context.Context, content []byte) bool {
	object := fleet.Object{Kind: PartKind, Name: Hash(content), Value: content}
	for attempt := 0; ; attempt++ {
		switch s.publisher.store.Put(ctx, object, fleet.IfAbsent) {
		case fleet.StoreOK, fleet.StoreConflict:
			return true
		}
		if !s.backOff(ctx, attempt) {
			return false
		}
	}
}

// backOff waits before the next attempt. The wait is random, with a mean that
// doubles with each attempt up to maxBackoff. It returns false if ctx is done.
func (s *publishState) backOff(ctx context.Context, attempt int) bool {
	wait := min(firstBackoff<<min(attempt, 10), maxBackoff)
	wait = wait/2 + time.Duration(s.publisher.random.Int64N(int64(wait)))
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// reportProgress calls Progress, if the change has it.
func (s *publishState) reportProgress(step string, done, total int) {
	if s.change.Progress != nil {
		s.change.Progress(step, done, total)
	}
}
