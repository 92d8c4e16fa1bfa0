package publication

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// versionHistory records every version of the manifest that is written to the store
// and checks that versions increase by one.
type versionHistory struct {
	mu       sync.Mutex
	heads    []manifestHead
	problems []string
}

func (h *versionHistory) observe(object fleet.Object) {
	if object.Kind != ManifestKind {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	decoded, err := decodeHead(object.Value)
	if err != nil || decoded.version != uint64(len(h.heads))+1 {
		h.problems = append(h.problems, fmt.Sprintf("got version %d (%v) after %d versions", decoded.version, err, len(h.heads)))
	}
	h.heads = append(h.heads, decoded)
}

// publicationID returns the ID of the publication that created a version.
func (h *versionHistory) publicationID(version int) ID {
	return h.heads[version-1].publications[len(h.heads[version-1].publications)-1].ID
}

// publishAttempt is one publication that a test starts after Delay. Variant selects the
// content of the team's file.
type publishAttempt struct {
	Delay, Timeout time.Duration
	Team           string
	Remove         bool
	Variant        int
}

// delayedFault sets the faults of the store after Delay, counted from the previous
// fault.
type delayedFault struct {
	Delay  time.Duration
	Faults platform.Faults
}

// race runs the attempts concurrently while faults occur, and returns the problems
// found.
func race(attempts []publishAttempt, faults []delayedFault) []string {
	store := platform.New(newRandom(1))
	var h versionHistory
	store.Observe(h.observe)
	results := make([]Result, len(attempts))
	var publishers sync.WaitGroup
	for i, a := range attempts {
		publishers.Go(func() {
			time.Sleep(a.Delay)
			ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
			defer cancel()
			change := Change{ID: newID(i)}
			if a.Remove {
				change.RemovedTeams = []string{a.Team}
			} else {
				change.Files = []teamfile.File{teamFile(a.Team, a.Variant)}
			}
			results[i] = NewPublisher(store, newRandom(uint64(i))).Publish(ctx, change)
		})
	}
	for _, fault := range faults {
		time.Sleep(fault.Delay)
		store.SetFaults(fault.Faults)
	}
	publishers.Wait()
	store.SetFaults(platform.Faults{})
	time.Sleep(time.Minute) // until delayed writes have ended

	return append(h.problems, checkRace(store, &h, attempts, results)...)
}

// checkRace compares the results of the attempts and the configuration in the store
// with the recorded versions, and returns the differences.
func checkRace(store Store, h *versionHistory, attempts []publishAttempt, results []Result) []string {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	versions := map[ID][]int{}
	for version := 1; version <= len(h.heads); version++ {
		versions[h.publicationID(version)] = append(versions[h.publicationID(version)], version)
	}
	want := map[string]string{}
	for version := 1; version <= len(h.heads); version++ {
		for i, a := range attempts {
			if h.publicationID(version) != newID(i) {
				continue
			}
			if a.Remove {
				delete(want, a.Team)
			} else {
				want[a.Team] = Hash(teamFile(a.Team, a.Variant).Content)
			}
		}
	}
	for i, result := range results {
		found := versions[newID(i)]
		switch {
		case len(found) > 1:
			report("publication %d took effect as versions %v, want once", i, found)
		case result.Outcome == Accepted && (len(found) != 1 || uint64(found[0]) != result.Version):
			report("publication %d was accepted as version %d, but took effect as %v", i, result.Version, found)
		case (result.Outcome == Rejected || result.Outcome == Conflict || result.Outcome == Unavailable) && len(found) != 0:
			report("publication %d is %v, but took effect as %v", i, result.Outcome, found)
		}
	}
	snapshot, outcome, findings := Load(context.Background(), nil, NewStoreSource(store, nil))
	if len(h.heads) > 0 && outcome != LoadInstalled {
		report("got %v with %v, want the last version installed", outcome, findings)
	}
	got := map[string]string{}
	if snapshot != nil {
		for team, part := range snapshot.Manifest.Parts {
			got[team] = part.Hash
		}
	}
	if !maps.Equal(got, want) {
		report("got parts %v, want %v", got, want)
	}

	return problems
}

// Guards against an accepted publication that is lost or takes effect twice, a
// rejected publication that takes effect, and versions that do not increase (R11),
// with concurrent publishers and every fault of the store.
func TestRacingPublishers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		milliseconds := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		})
		attempts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) publishAttempt {
			return publishAttempt{
				Delay:   milliseconds.Draw(t, "delay"),
				Timeout: rapid.SampledFrom([]time.Duration{time.Minute, time.Minute, 300 * time.Millisecond}).Draw(t, "timeout"),
				Team:    rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "team"),
				Remove:  rapid.IntRange(0, 4).Draw(t, "remove") == 0,
				Variant: rapid.IntRange(0, 2).Draw(t, "variant"),
			}
		}), 2, 6).Draw(rt, "attempts")
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) delayedFault {
			return delayedFault{milliseconds.Draw(t, "after"), platform.Faults{
				Outage:      rapid.IntRange(0, 3).Draw(t, "outage") == 0,
				Latency:     rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 250 * time.Millisecond}).Draw(t, "latency"),
				LoseAnswers: rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "lose"),
			}}
		}), 0, 4).Draw(rt, "faults")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = race(attempts, faults) })
		if len(problems) > 0 {
			rt.Fatalf("got problems:\n%s", strings.Join(problems, "\n"))
		}
	})
}
