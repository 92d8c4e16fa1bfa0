// Package publication measures the cost of configuration changes.
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
	// recentPublications is the number that a long-lived manifest lists.
	recentPublications = 64
)

// Size describes a fleet's configuration.
type Size struct {
	Teams, Routes, ClientAccounts int
	ChangesPerDay                 int
}

// Target is the size of section 1.3 of the design, with one service per team.
var Target = Size{Teams: 6700, Routes: 51_000, ClientAccounts: 280_000, ChangesPerDay: 6700}

// LayoutCost is the cost of one layout.
type LayoutCost struct {
	Layout string
	// ReadBytes is what one daemon reads for the change of one team.
	ReadBytes int
	// BytesPerSecond is ReadBytes at the size's changes per day.
	BytesPerSecond float64
	// LargestObject is in bytes.
	LargestObject int
	// Accepted says that the store accepts the largest object.
	Accepted bool
	// Writes is the number of objects that the publisher writes.
	Writes int
}

// CompareLayouts compares the layouts for the change of one team of average
// size.
func CompareLayouts(size Size) []LayoutCost {
	files := teamFiles(size)
	manifest := manifestOf(files)
	total, largestPart := 0, 0
	for _, content := range files {
		total += len(content)
		largestPart = max(largestPart, len(content))
	}
	part := total / len(files)

	encoded, buckets := publication.Encode(manifest)
	bucket, largestBucket := 0, 0
	for _, content := range buckets {
		bucket += len(content)
		largestBucket = max(largestBucket, len(content))
	}
	bucket /= len(buckets)
	flat := flatManifest(manifest)

	rows := []LayoutCost{
		{Layout: "one rewritten object", ReadBytes: total, LargestObject: total, Writes: 1},
		{Layout: "flat manifest with parts", ReadBytes: flat + part, LargestObject: max(flat, largestPart), Writes: 2},
		{
			Layout: fmt.Sprintf("manifest in %d buckets with parts", len(buckets)), ReadBytes: len(encoded) + bucket + part,
			LargestObject: max(len(encoded), largestBucket, largestPart), Writes: 3,
		},
	}
	for i := range rows {
		rows[i].BytesPerSecond = float64(rows[i].ReadBytes) * float64(size.ChangesPerDay) / secondsPerDay
		rows[i].Accepted = rows[i].LargestObject <= fleet.MaxObjectBytes
	}

	return rows
}

// Installation is what a daemon spends on installing versions.
type Installation struct {
	// First is the time to install a version without an earlier one.
	First time.Duration
	// Next is the time to install a version in which one team changed.
	Next time.Duration
	// CorePercent is the part of one core that Next takes at the size's changes
	// per day.
	CorePercent float64
	// HeapBytes is the live heap that one installed version adds.
	HeapBytes uint64
}

// Install measures a daemon that installs versions from memory.
func Install(ctx context.Context, size Size) (Installation, error) {
	files := teamFiles(size)
	first := sourceOf(manifestOf(files), files)
	changed := slices.Sorted(maps.Keys(files))[0]
	files[changed] += "# changed\n"
	manifest := manifestOf(files)
	manifest.Version++
	second := sourceOf(manifest, files)

	before := liveHeap()
	start := time.Now()
	snapshot, outcome, findings := publication.Load(ctx, nil, first)
	result := Installation{First: time.Since(start)}
	if outcome != publication.LoadInstalled {
		return result, fmt.Errorf("first version is %v: %v", outcome, findings)
	}
	if after := liveHeap(); after > before {
		result.HeapBytes = after - before
	}
	runtime.KeepAlive(first) // else its end would be subtracted
	start = time.Now()
	snapshot, outcome, findings = publication.Load(ctx, snapshot, second)
	result.Next = time.Since(start)
	if outcome != publication.LoadInstalled || snapshot.Version() != manifest.Version {
		return result, fmt.Errorf("next version is %v: %v", outcome, findings)
	}
	result.CorePercent = 100 * result.Next.Seconds() * float64(size.ChangesPerDay) / secondsPerDay

	return result, nil
}

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

func manifestOf(files map[string]string) publication.Manifest {
	manifest := publication.Manifest{Version: 100_000, Parts: make(map[string]publication.Part, len(files))}
	since := uint64(1)
	for _, team := range slices.Sorted(maps.Keys(files)) {
		since = since%manifest.Version + 1
		manifest.Parts[team] = publication.Part{Hash: publication.Hash([]byte(files[team])), ChangedVersion: since}
	}
	for i := range uint64(recentPublications) {
		version := manifest.Version - recentPublications + 1 + i
		manifest.Publications = append(manifest.Publications, publication.Publication{
			Version: version, ID: uuid.NewSHA1(uuid.Nil, fmt.Append(nil, version)),
		})
	}

	return manifest
}

// flatManifest returns the size of a manifest that lists all teams itself.
func flatManifest(manifest publication.Manifest) int {
	list := &peerpb.ManifestBucket{}
	for team, part := range manifest.Parts {
		hash, err := hex.DecodeString(part.Hash)
		if err != nil {
			panic(fmt.Sprintf("part hash %q of team %s is not hexadecimal", part.Hash, team))
		}
		list.Parts = append(list.Parts, &peerpb.ManifestPart{Team: team, Hash: hash, Since: part.ChangedVersion})
	}
	recent := &peerpb.ManifestHead{Version: manifest.Version}
	for _, p := range manifest.Publications {
		recent.Publications = append(recent.Publications, &peerpb.Publication{Version: p.Version, ID: p.ID[:]})
	}

	return proto.Size(list) + proto.Size(recent)
}

type memory struct {
	head  []byte
	parts map[string][]byte
}

func sourceOf(manifest publication.Manifest, files map[string]string) memory {
	head, parts := publication.Encode(manifest)
	for _, content := range files {
		parts[publication.Hash([]byte(content))] = []byte(content)
	}

	return memory{head, parts}
}

func (m memory) Head(context.Context) ([]byte, bool) { return m.head, true }

func (m memory) Part(_ context.Context, hash string) ([]byte, bool) {
	content, ok := m.parts[hash]

	// A copy of its own, as a daemon holds, counts as heap of the installation.
	return bytes.Clone(content), ok
}
