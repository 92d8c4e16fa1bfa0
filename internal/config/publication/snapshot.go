package publication

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// maxFetches is the number of parts that are fetched concurrently. A new daemon
// fetches all parts, and the peer that serves them uses one stream for each.
const maxFetches = 16

// Source provides a version of the configuration. It is the store or another daemon.
// Both methods return false if the source does not have the data or does not answer.
type Source interface {
	// Head returns the encoded head of the manifest.
	Head(ctx context.Context) ([]byte, bool)
	// Part returns the bucket or team file with the SHA-256 hash in hex. The caller
	// verifies the hash.
	Part(ctx context.Context, hash string) ([]byte, bool)
}

// LoadOutcome is the outcome of Load.
type LoadOutcome int

// The outcomes of Load.
const (
	// LoadUnavailable means that the source has no manifest or did not answer.
	LoadUnavailable LoadOutcome = iota
	// LoadInstalled means that the returned snapshot is valid and newer than the
	// current one.
	LoadInstalled
	// LoadNotNewer means that the source has the current version or an older one.
	LoadNotNewer
	// LoadIncomplete means that a part was missing or its content did not match its
	// hash.
	LoadIncomplete
	// LoadInvalid means that the manifest is malformed, or that the version is
	// complete but its configuration is invalid.
	LoadInvalid
)

// String returns the outcome's name.
func (o LoadOutcome) String() string {
	return [...]string{"Unavailable", "Installed", "NotNewer", "Incomplete", "Invalid"}[o]
}

// Snapshot is one complete and valid version of the configuration with all its
// parts. It is immutable. A nil *Snapshot is a snapshot of version zero without
// parts.
type Snapshot struct {
	Configuration *fleet.Configuration
	Manifest      Manifest
	// Head is the encoded head of the manifest.
	Head []byte
	// HeadHash is the SHA-256 hash of Head in hex.
	HeadHash string
	// buckets holds the encoded buckets of the manifest, and files the team files, both
	// by their SHA-256 hash in hex.
	buckets map[string][]byte
	files   map[string]loadedFile
}

// loadedFile is the file of one team in a snapshot.
type loadedFile struct {
	compressed []byte
	parsed     teamfile.ParsedFile
	// findings are the faults of the file without regard to other files.
	findings inifile.Findings
}

// Version returns the version of the configuration, or zero for a nil snapshot.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}

	return s.Manifest.Version
}

// Part returns the content of the bucket, team file or manifest head with the given
// hash, and false if the snapshot does not have it. For an empty hash it returns the
// manifest head.
func (s *Snapshot) Part(hash string) ([]byte, bool) {
	if s == nil {
		return nil, false
	}
	if hash == "" || hash == s.HeadHash {
		return s.Head, true
	}
	if bucket, ok := s.buckets[hash]; ok {
		return bucket, true
	}
	f, ok := s.files[hash]
	if !ok {
		return nil, false
	}

	return decompress(f.compressed), true
}

// Load reads and validates the version that source provides and reuses the parts
// that the current snapshot has already. Unless the outcome is LoadInstalled, it
// returns the current snapshot, so that versions only increase. There are findings
// only for LoadInvalid.
func Load(ctx context.Context, current *Snapshot, source Source) (*Snapshot, LoadOutcome, inifile.Findings) {
	next, outcome, findings := fetchSnapshot(ctx, current, source)
	if outcome != LoadInstalled {
		return current, outcome, findings
	}
	teams := slices.Sorted(maps.Keys(next.Manifest.Parts))
	parsed := make([]teamfile.ParsedFile, len(teams))
	for i, team := range teams {
		f := next.files[next.Manifest.Parts[team].Hash]
		findings = append(findings, f.findings...)
		parsed[i] = f.parsed
	}
	next.Configuration, outcome = nil, LoadInvalid
	if len(findings) == 0 {
		next.Configuration, findings = teamfile.Combine(next.Manifest.Version, parsed, nil)
	}
	if len(findings) == 0 {
		return next, LoadInstalled, nil
	}

	return current, outcome, findings
}

// fetchSnapshot fetches the version that source provides. The snapshot is complete
// but not validated and has no configuration. The outcome is LoadInvalid if the
// manifest is malformed.
func fetchSnapshot(ctx context.Context, current *Snapshot, source Source) (*Snapshot, LoadOutcome, inifile.Findings) {
	raw, ok := source.Head(ctx)
	if !ok {
		return nil, LoadUnavailable, nil
	}
	h, err := decodeHead(raw)
	if err != nil {
		return nil, LoadInvalid, inifile.Findings{{File: ManifestKind + "/" + ManifestName, Problem: err.Error()}}
	}
	if h.version <= current.Version() {
		return nil, LoadNotNewer, nil
	}
	next := &Snapshot{
		Manifest: Manifest{Version: h.version, Parts: map[string]Part{}, Publications: h.publications},
		Head:     raw,
		HeadHash: Hash(raw),
		files:    map[string]loadedFile{},
	}
	if next.buckets, ok = collectParts(ctx, current, source, h.buckets); !ok {
		return nil, LoadIncomplete, nil
	}
	for i, hash := range h.buckets {
		if hash == "" {
			continue
		}
		if err := decodeBucket(i, next.buckets[hash], h.version, next.Manifest.Parts); err != nil {
			return nil, LoadInvalid, inifile.Findings{{File: PartKind + "/" + hash, Problem: err.Error()}}
		}
	}
	contents, ok := collectParts(ctx, current, source, next.unparsedHashes(current))
	if !ok {
		return nil, LoadIncomplete, nil
	}
	next.parse(current, contents)

	return next, LoadInstalled, nil
}

// parse fills s.files. It reuses the files that the current snapshot has parsed for
// the same team and parses the other files, whose contents it takes by hash.
func (s *Snapshot) parse(current *Snapshot, contents map[string][]byte) {
	for team, part := range s.Manifest.Parts {
		if f, ok := current.reusableFile(team, part); ok {
			s.files[part.Hash] = f

			continue
		}
		name := "published file of team " + team
		f := loadedFile{compressed: compress(contents[part.Hash])}
		f.parsed, f.findings = teamfile.Parse(teamfile.File{Name: name, Content: contents[part.Hash]})
		if f.parsed.Team.Name != team {
			f.findings = append(f.findings, inifile.Finding{
				File: name, Key: "Team", Problem: fmt.Sprintf("%q is not the team of the manifest", f.parsed.Team.Name), Expected: team,
			})
		}
		s.files[part.Hash] = f
	}
}

// reusableFile returns the parsed file with the hash in part if the snapshot has it
// and the file names the given team.
func (s *Snapshot) reusableFile(team string, part Part) (loadedFile, bool) {
	if s == nil {
		return loadedFile{}, false
	}
	f, ok := s.files[part.Hash]

	return f, ok && f.parsed.Team.Name == team
}

// unparsedHashes returns the hashes of the files that must be parsed, because current
// contains no parsed file for them. The content of the other files, which are the
// majority, is not needed.
func (s *Snapshot) unparsedHashes(current *Snapshot) []string {
	var all []string
	for team, part := range s.Manifest.Parts {
		if _, ok := current.reusableFile(team, part); !ok {
			all = append(all, part.Hash)
		}
	}

	return all
}

// collectParts returns the contents of the parts with the given hashes, by hash, and
// ignores empty hashes. It fetches those that the current snapshot does not have. It
// returns false if one could not be fetched or did not match its hash.
func collectParts(ctx context.Context, current *Snapshot, source Source, hashes []string) (map[string][]byte, bool) {
	contents := map[string][]byte{}
	var missing []string
	for _, hash := range hashes {
		if hash == "" {
			continue
		}
		if content, ok := current.Part(hash); ok {
			contents[hash] = content
		} else if _, seen := contents[hash]; !seen {
			contents[hash] = nil
			missing = append(missing, hash)
		}
	}
	fetched := fetchParts(ctx, missing, source.Part)
	maps.Copy(contents, fetched)

	return contents, len(fetched) == len(missing)
}

// fetchParts calls fetchPart for each hash, up to maxFetches at a time, until a call
// fails or returns content with another hash. It returns the valid contents by hash.
func fetchParts(ctx context.Context, hashes []string, fetchPart func(context.Context, string) ([]byte, bool)) map[string][]byte {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	fetched := make(map[string][]byte, len(hashes))
	queue := make(chan string)
	var workers sync.WaitGroup
	for range min(maxFetches, len(hashes)) {
		workers.Go(func() {
			for hash := range queue {
				content, ok := fetchPart(ctx, hash)
				if !ok || Hash(content) != hash {
					cancel()

					continue
				}
				mu.Lock()
				fetched[hash] = content
				mu.Unlock()
			}
		})
	}
	for _, hash := range hashes {
		if ctx.Err() != nil {
			break
		}
		queue <- hash
	}
	close(queue)
	workers.Wait()

	return fetched
}
