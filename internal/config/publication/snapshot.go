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

// maxFetches bounds the parts that are fetched at once. A new daemon fetches
// all of them, and its peer serves each on a stream of its own.
const maxFetches = 16

// Source is a place that holds a version of the configuration: the store, or
// another daemon.
type Source interface {
	// Head returns the encoded head of the manifest.
	Head(ctx context.Context) ([]byte, bool)
	// Part returns the bucket or team file with the hash.
	Part(ctx context.Context, hash string) ([]byte, bool)
}

// LoadOutcome is the result of loading a version.
type LoadOutcome int

// Outcomes of loading.
const (
	// LoadUnavailable means that the source has no manifest or did not answer.
	LoadUnavailable LoadOutcome = iota
	// LoadInstalled means that the returned snapshot is newer and valid.
	LoadInstalled
	// LoadNotNewer means that the source has the current version or an older one.
	LoadNotNewer
	// LoadIncomplete means that a part was missing or did not have its hash.
	LoadIncomplete
	// LoadInvalid means that the version is complete and not valid.
	LoadInvalid
)

// String returns the outcome's name.
func (o LoadOutcome) String() string {
	return [...]string{"Unavailable", "Installed", "NotNewer", "Incomplete", "Invalid"}[o]
}

// Snapshot is one complete and valid version with all its parts. It is
// immutable. The nil snapshot stands for none.
type Snapshot struct {
	Configuration *fleet.Configuration
	Manifest      Manifest
	// Head is the encoded head of the manifest.
	Head []byte
	// HeadHash is the SHA-256 hash of Head in hex.
	HeadHash string
	// buckets and files hold the parts by hash.
	buckets map[string][]byte
	files   map[string]file
}

type file struct {
	compressed []byte
	parsed     teamfile.ParsedFile
	// findings are those of the file by itself.
	findings inifile.Findings
}

// Version returns the snapshot's version, or zero if there is none.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}

	return s.Manifest.Version
}

// Part returns the bucket, team file or head of the manifest with the hash. For
// an empty hash it returns the head.
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

// Load takes the version that source holds, reusing the parts that the current
// snapshot already has. The returned snapshot is the current one unless the
// outcome is LoadInstalled, so that versions only rise.
func Load(ctx context.Context, current *Snapshot, source Source) (*Snapshot, LoadOutcome, inifile.Findings) {
	next, outcome, findings := assemble(ctx, current, source)
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

// assemble returns a complete snapshot that is not yet validated and has no
// configuration. The outcome is LoadInvalid if the manifest is malformed.
func assemble(ctx context.Context, current *Snapshot, source Source) (*Snapshot, LoadOutcome, inifile.Findings) {
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
		files:    map[string]file{},
	}
	if next.buckets, ok = collect(ctx, current, source, h.buckets); !ok {
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
	contents, ok := collect(ctx, current, source, next.unparsed(current))
	if !ok {
		return nil, LoadIncomplete, nil
	}
	next.parse(current, contents)

	return next, LoadInstalled, nil
}

// parse reads the team files, except those that the current snapshot has.
func (s *Snapshot) parse(current *Snapshot, contents map[string][]byte) {
	for team, part := range s.Manifest.Parts {
		if f, ok := current.parsed(team, part); ok {
			s.files[part.Hash] = f

			continue
		}
		name := "published file of team " + team
		f := file{compressed: compress(contents[part.Hash])}
		f.parsed, f.findings = teamfile.Parse(teamfile.File{Name: name, Content: contents[part.Hash]})
		if f.parsed.Team.Name != team {
			f.findings = append(f.findings, inifile.Finding{
				File: name, Key: "Team", Problem: fmt.Sprintf("%q is not the team of the manifest", f.parsed.Team.Name), Expected: team,
			})
		}
		s.files[part.Hash] = f
	}
}

// parsed returns a team's file if the snapshot has it as that of the same team.
func (s *Snapshot) parsed(team string, part Part) (file, bool) {
	if s == nil {
		return file{}, false
	}
	f, ok := s.files[part.Hash]

	return f, ok && f.parsed.Team.Name == team
}

// unparsed returns the hashes of the files that current does not have parsed.
// The content of the others, which are most, is not needed.
func (s *Snapshot) unparsed(current *Snapshot) []string {
	var all []string
	for team, part := range s.Manifest.Parts {
		if _, ok := current.parsed(team, part); !ok {
			all = append(all, part.Hash)
		}
	}

	return all
}

// collect returns the parts with the given hashes, fetching those that the
// current snapshot does not have.
func collect(ctx context.Context, current *Snapshot, source Source, hashes []string) (map[string][]byte, bool) {
	contents := map[string][]byte{}
	var missing []string
	for _, hash := range hashes {
		if hash == "" {
			continue
		}
		if content, ok := current.Part(hash); ok {
			contents[hash] = content
		} else if _, listed := contents[hash]; !listed {
			contents[hash] = nil
			missing = append(missing, hash)
		}
	}
	fetched := fetch(ctx, missing, source.Part)
	maps.Copy(contents, fetched)

	return contents, len(fetched) == len(missing)
}

// fetch calls part for each hash, a few at a time, until one is missing. It
// returns those whose content has the hash.
func fetch(ctx context.Context, missing []string, part func(context.Context, string) ([]byte, bool)) map[string][]byte {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	fetched := make(map[string][]byte, len(missing))
	work := make(chan string)
	var workers sync.WaitGroup
	for range min(maxFetches, len(missing)) {
		workers.Go(func() {
			for hash := range work {
				content, ok := part(ctx, hash)
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
	for _, hash := range missing {
		if ctx.Err() != nil {
			break
		}
		work <- hash
	}
	close(work)
	workers.Wait()

	return fetched
}
