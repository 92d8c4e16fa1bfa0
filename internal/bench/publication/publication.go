// Package publication measures the cost of configuration changes: the size of what daemons
// read and the store holds under different layouts, and the time and memory that daemons
// take to install a version.
package publication

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	secondsPerDay = 24 * 60 * 60
	// recentPublications is the number of publications listed in the manifest of a fleet
	// that has been running for a long time.
	recentPublications = 64
)

// Size is the size of a fleet's configuration.
type Size struct {
	Teams, Routes, ClientAccounts int
	ChangesPerDay                 int
}

// Target is the target size of section 1.3 of the design, with one service per team.
var Target = Size{Teams: 6700, Routes: 51_000, ClientAccounts: 280_000, ChangesPerDay: 6700}

// LayoutCost is the cost of a change of one team under one layout of the configuration in
// the store.
type LayoutCost struct {
	Layout string
	// ReadBytes is the number of bytes that one daemon reads for the change.
	ReadBytes int
	// BytesPerSecond is the mean rate at which one daemon reads at the size's changes per
	// day.
	BytesPerSecond float64
	// LargestObject is the size of the largest object in bytes.
	LargestObject int
	// Accepted is true if the store accepts the largest object.
	Accepted bool
	// Writes is the number of objects that the publisher writes for the change.
	Writes int
}

// CompareLayouts returns the cost of the change of one team of average size under each
// layout. The last one is the layout in use.
func CompareLayouts(size Size) []LayoutCost {
	files := teamFiles(size)
	manifest := buildManifest(files)
	total, largestPart := 0, 0
	for _, content := range files {
		total += len(content)
		largestPart = max(largestPart, len(content))
	}
	averagePart := total / len(files)

	encodedHead, buckets := publication.Encode(manifest)
	bucketBytes, largestBucket := 0, 0
	for _, content := range buckets {
		bucketBytes += len(content)
		largestBucket = max(largestBucket, len(content))
	}
	bucketBytes /= len(buckets)
	flat := flatManifestSize(manifest)

	rows := []LayoutCost{
		{Layout: "one rewritten object", ReadBytes: total, LargestObject: total, Writes: 1},
		{Layout: "flat manifest with parts", ReadBytes: flat + averagePart, LargestObject: max(flat, largestPart), Writes: 2},
		{
			Layout: fmt.Sprintf("manifest in %d buckets with parts", len(buckets)), ReadBytes: len(encodedHead) + bucketBytes + averagePart,
			LargestObject: max(len(encodedHead), largestBucket, largestPart), Writes: 3,
		},
	}
	for i := range rows {
		rows[i].BytesPerSecond = float64(rows[i].ReadBytes) * float64(size.ChangesPerDay) / secondsPerDay
		rows[i].Accepted = rows[i].LargestObject <= fleet.MaxObjectBytes
	}

	return rows
}

// Installation is the cost of installing versions for one daemon.
type Installation struct {
	// FirstDuration is the time to install a version on a daemon that has none installed.
	FirstDuration time.Duration
	// NextDuration is the time to replace an installed version by one in which one team
	// changed.
	NextDuration time.Duration
	// CorePercent is the percentage of one core that NextDuration takes at the size's changes
	// per day.
	CorePercent float64
	// HeapBytes is the live heap that one installed version adds, or 0 if the heap did not
	// grow.
	HeapBytes uint64
}

// Install measures a daemon that installs two versions from memory. It returns an error if
// either version is not installed.
func Install(ctx context.Context, size Size) (Installation, error) {
	files := teamFiles(size)
	first := newMemorySource(buildManifest(files), files)
	changed := slices.Sorted(maps.Keys(files))[0]
	files[changed] += "# changed\n"
	manifest := buildManifest(files)
	manifest.Version++
	second := newMemorySource(manifest, files)

	before := liveHeap()
	start := time.Now()
	snapshot, outcome, findings := publication.Load(ctx, nil, first)
	result := Installation{FirstDuration: time.Since(start)}
	if outcome != publication.LoadInstalled {
		return result, fmt.Errorf("install first version: %v: %v", outcome, findings)
	}
	if after := liveHeap(); after > before {
		result.HeapBytes = after - before
	}
	runtime.KeepAlive(first) // collecting first before the measurement would reduce HeapBytes
	start = time.Now()
	snapshot, outcome, findings = publication.Load(ctx, snapshot, second)
	result.NextDuration = time.Since(start)
	if outcome != publication.LoadInstalled || snapshot.Version() != manifest.Version {
		return result, fmt.Errorf("install next version: %v: %v", outcome, findings)
	}
	result.CorePercent = 100 * result.NextDuration.Seconds() * float64(size.ChangesPerDay) / secondsPerDay

	return result, nil
}

// liveHeap returns the live heap in bytes after garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

// teamFiles returns a file for each team, with routes and client accounts
// spread evenly.
func teamFiles(size Size) map[string]string {
	files := make(map[string]string, size.Teams)
	for team := range size.Teams {
		var b strings.Builder
		fmt.Fprintf(&b, "Team = Team%04d\n[Service Service%04d]\nFloor = 60%%\nDeadline = 2s\nDetectionThreshold = 8\n", team, team)
		for route := team; route < size.Routes; route += size.Teams {
			fmt.Fprintf(&b, "[Route Route%05d]\nService = Service%04d\nHost = team%04d.example\nPathPrefix = /route%05d\nMethods = GET, HEAD\nIdempotent = true\n",
				route, team, team, route)
		}
		for account := team; account < size.ClientAccounts; account += size.Teams {
			fmt.Fprintf(&b, "[ClientAccount Account%06d]\nRate = 50/s\nBurst = 100\n", account)
		}
		files[fmt.Sprintf("Team%04d", team)] = b.String()
	}

	return files
}

// buildManifest returns a manifest of the files at version 100,000. The teams differ in the
// version of their last change.
func buildManifest(files map[string]string) publication.Manifest {
	manifest := publication.Manifest{Version: 100_000, Parts: make(map[string]publication.Part, len(files))}
	changedVersion := uint64(1)
	for _, team := range slices.Sorted(maps.Keys(files)) {
		changedVersion = changedVersion%manifest.Version + 1
		manifest.Parts[team] = publication.Part{Hash: publication.Hash([]byte(files[team])), ChangedVersion: changedVersion}
	}
	for i := range uint64(recentPublications) {
		version := manifest.Version - recentPublications + 1 + i
		manifest.Publications = append(manifest.Publications, publication.Publication{
			Version: version, ID: uuid.NewSHA1(uuid.Nil, fmt.Append(nil, version)),
		})
	}

	return manifest
}

// flatManifestSize returns the size in bytes of a manifest that lists all teams itself,
// without buckets.
func flatManifestSize(manifest publication.Manifest) int {
	list := &peerpb.ManifestBucket{}
	for team, part := range manifest.Parts {
		hash, err := hex.DecodeString(part.Hash)
		if err != nil {
			panic(fmt.Sprintf("publication: part hash %q of team %s is not hexadecimal", part.Hash, team))
		}
		list.Parts = append(list.Parts, &peerpb.ManifestPart{Team: team, Hash: hash, Since: part.ChangedVersion})
	}
	recent := &peerpb.ManifestHead{Version: manifest.Version}
	for _, p := range manifest.Publications {
		recent.Publications = append(recent.Publications, &peerpb.Publication{Version: p.Version, ID: p.ID[:]})
	}

	return proto.Size(list) + proto.Size(recent)
}

// memorySource serves a manifest and its parts from memory.
type memorySource struct {
	head  []byte
	parts map[string][]byte
}

// newMemorySource returns a source of the manifest and the files of its teams.
func newMemorySource(manifest publication.Manifest, files map[string]string) memorySource {
	head, parts := publication.Encode(manifest)
	for _, content := range files {
		parts[publication.Hash([]byte(content))] = []byte(content)
	}

	return memorySource{head, parts}
}

func (m memorySource) Head(context.Context) ([]byte, bool) { return m.head, true }

func (m memorySource) Part(_ context.Context, hash string) ([]byte, bool) {
	content, ok := m.parts[hash]

	// A daemon holds a copy of what it reads, so the copy counts as heap of the installation.
	return bytes.Clone(content), ok
}
