package publication

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 7)) }

func newID(n int) ID { return uuid.NewSHA1(uuid.Nil, fmt.Append(nil, n)) }

// teamFile returns a valid file whose content differs by variant.
func teamFile(team string, variant int) teamfile.File {
	content := fmt.Sprintf("Team = %s\n[ClientAccount %sAccount]\nRate = %d/s\nBurst = 1\n", team, team, variant+1)

	return teamfile.File{Name: strings.ToLower(team) + ".ini", Content: []byte(content)}
}

// publish applies one change and checks its outcome.
func publish(t *testing.T, store Store, change Change, want Outcome) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got := NewPublisher(store, seeded(1)).Publish(ctx, change)
	if got.Outcome != want {
		t.Fatalf("got %v with %v, want %v", got.Outcome, got.Findings, want)
	}

	return got
}

// between runs a function before the first write of the manifest.
type between struct {
	Store
	run  func()
	once sync.Once
	// lose drops the first write of the manifest, as if its request were lost.
	lose bool
	// refuseParts is the number of first writes of parts that are refused.
	refuseParts int
}

func (b *between) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	if object.Kind == ManifestKind {
		lost := false
		b.once.Do(func() {
			b.run()
			lost = b.lose
		})
		if lost {
			return fleet.StoreAmbiguous
		}
	} else if b.refuseParts > 0 {
		b.refuseParts--

		return fleet.StoreUnavailable
	}

	return b.Store.Put(ctx, object, condition)
}

// Guards against a wrong outcome where another publication or a fault
// intervenes just before the manifest is written.
func TestInterventions(t *testing.T) {
	t.Parallel()
	other := func(t *testing.T, store *platform.Store, n int, change Change) {
		t.Helper()
		change.ID = newID(1000 + n)
		publish(t, store, change, Accepted)
	}
	for name, c := range map[string]struct {
		change    Change
		intervene func(t *testing.T, store *platform.Store)
		lose      bool
		want      Outcome
		version   uint64
	}{
		"lost request": {
			change:    Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(*testing.T, *platform.Store) {},
			lose:      true,
			want:      Accepted, version: 2,
		},
		"lost request, another team, then outage": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{Files: []teamfile.File{teamFile("B", 1)}})
				time.AfterFunc(14*time.Second, func() { store.SetFaults(platform.Faults{Outage: true}) })
				store.SetFaults(platform.Faults{Latency: 4 * time.Second})
			},
			lose: true,
			want: Unavailable,
		},
		"answer after the deadline": {
			change:    Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(_ *testing.T, store *platform.Store) { store.SetFaults(platform.Faults{Latency: 90 * time.Second}) },
			want:      Unknown,
		},
		"nothing": {
			change:    Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(*testing.T, *platform.Store) {},
			want:      Accepted, version: 2,
		},
		"another team": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{Files: []teamfile.File{teamFile("B", 1)}})
			},
			want: Accepted, version: 3,
		},
		"the same team": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{Files: []teamfile.File{teamFile("A", 2)}})
			},
			want: Conflict,
		},
		"the same team, there and back": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{Files: []teamfile.File{teamFile("A", 2)}})
				other(t, store, 2, Change{Files: []teamfile.File{teamFile("A", 0)}})
			},
			want: Conflict,
		},
		"removal of the same team": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{RemovedTeams: []string{"A"}})
			},
			want: Conflict,
		},
		"change of a removed team": {
			change: Change{RemovedTeams: []string{"A"}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{Files: []teamfile.File{teamFile("A", 2)}})
			},
			want: Conflict,
		},
		"another team takes the name": {
			change: Change{Files: []teamfile.File{{Name: "c.ini", Content: []byte("Team = C\n[ClientAccount BAccount]\nRate = 1/s\nBurst = 1\n")}}},
			intervene: func(t *testing.T, store *platform.Store) {
				other(t, store, 1, Change{Files: []teamfile.File{teamFile("B", 1)}})
			},
			want: Rejected,
		},
		"lost answer": {
			change:    Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(_ *testing.T, store *platform.Store) { store.SetFaults(platform.Faults{LoseAnswers: 1}) },
			want:      Accepted, version: 2,
		},
		"lost answer, then outage": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(_ *testing.T, store *platform.Store) {
				store.SetFaults(platform.Faults{LoseAnswers: 1})
				time.AfterFunc(time.Millisecond, func() { store.SetFaults(platform.Faults{Outage: true}) })
			},
			want: Unknown,
		},
		"outage throughout": {
			change:    Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(_ *testing.T, store *platform.Store) { store.SetFaults(platform.Faults{Outage: true}) },
			want:      Unavailable,
		},
		"outage for a while": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(_ *testing.T, store *platform.Store) {
				store.SetFaults(platform.Faults{Outage: true})
				time.AfterFunc(20*time.Second, func() { store.SetFaults(platform.Faults{}) })
			},
			want: Accepted, version: 2,
		},
		"slow store": {
			change:    Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(_ *testing.T, store *platform.Store) { store.SetFaults(platform.Faults{Latency: 3 * time.Second}) },
			want:      Accepted, version: 2,
		},
		"lost answer and more publications than listed": {
			change: Change{Files: []teamfile.File{teamFile("A", 1)}},
			intervene: func(t *testing.T, store *platform.Store) {
				store.SetFaults(platform.Faults{LoseAnswers: 1})
				time.AfterFunc(time.Millisecond, func() {
					for n := range maxPublications {
						other(t, store, n, Change{Files: []teamfile.File{teamFile("B", n)}})
					}
				})
			},
			want: Unknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := platform.New(seeded(1))
				publish(t, store, Change{ID: newID(0), Files: []teamfile.File{teamFile("A", 0)}}, Accepted)
				c.change.ID = newID(1)
				faulty := &between{Store: store, run: func() { c.intervene(t, store) }, lose: c.lose, refuseParts: 2}
				got := publish(t, faulty, c.change, c.want)
				if got.Version != c.version {
					t.Errorf("got version %d, want %d", got.Version, c.version)
				}
				store.SetFaults(platform.Faults{})
				if _, outcome, findings := Load(t.Context(), nil, NewStoreSource(store, nil)); outcome != LoadInstalled {
					t.Errorf("got %v with %v, want a complete configuration", outcome, findings)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a rejected publication that writes anything, and against a
// repeated one that takes effect twice.
func TestRejectedAndRepeatedPublicationsChangeNothing(t *testing.T) {
	t.Parallel()
	store := platform.New(seeded(1))
	first := Change{ID: newID(0), Files: []teamfile.File{teamFile("A", 0), teamFile("B", 0)}}
	publish(t, store, first, Accepted)
	before := store.CallCounts().Put
	if got := publish(t, store, first, Accepted).Version; got != 1 {
		t.Errorf("got version %d for a repeated publication, want 1", got)
	}
	route := "[Route R]\nService = S\nHost = h.example\nPathPrefix = /\nMethods = GET\n"
	for name, change := range map[string]Change{
		"a fault in the file":      {Files: []teamfile.File{{Name: "x.ini", Content: []byte("Team = X\nY = 1\n")}}},
		"a name of another team":   {Files: []teamfile.File{{Name: "x.ini", Content: []byte(strings.Replace(string(teamFile("A", 0).Content), "= A", "= X", 1))}}},
		"a service nobody defines": {Files: []teamfile.File{{Name: "x.ini", Content: []byte("Team = X\n" + route)}}},
		"a floor above the slots": {
			Files:          []teamfile.File{{Name: "x.ini", Content: []byte("Team = X\n[Service S]\nFloor = 9\nDeadline = 1s\n")}},
			AnnouncedSlots: map[string]int{"S": 8},
		},
		"a team twice":           {Files: []teamfile.File{teamFile("A", 1), teamFile("A", 2)}},
		"a removal of no team":   {RemovedTeams: []string{"Z"}},
		"a change and a removal": {Files: []teamfile.File{teamFile("A", 1)}, RemovedTeams: []string{"A"}},
		"no change":              {},
		"an enormous file":       {Files: []teamfile.File{{Name: "x.ini", Content: append([]byte("Team = X\n"), slices.Repeat([]byte("#\n"), fleet.MaxObjectBytes/2)...)}}},
	} {
		change.ID = newID(1)
		if got := publish(t, store, change, Rejected); len(got.Findings) == 0 {
			t.Errorf("%s: got no findings, want some", name)
		}
	}
	if got := store.CallCounts().Put; got != before {
		t.Errorf("got %d writes by refused publications, want none", got-before)
	}
}

// changedSource serves some parts differently.
type changedSource struct {
	Source
	change func(hash string, content []byte) ([]byte, bool)
}

func (s changedSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	content, ok := s.Source.Part(ctx, hash)
	if !ok {
		return nil, false
	}

	return s.change(hash, content)
}

// Guards against a version that is installed although it is older, incomplete,
// altered or invalid (R11).
func TestLoadOnlyMovesUp(t *testing.T) {
	t.Parallel()
	store := platform.New(seeded(1))
	publish(t, store, Change{ID: newID(1), Files: []teamfile.File{teamFile("A", 1)}}, Accepted)
	one, _, _ := Load(t.Context(), nil, NewStoreSource(store, nil))
	publish(t, store, Change{ID: newID(2), Files: []teamfile.File{teamFile("B", 1)}}, Accepted)
	two, _, _ := Load(t.Context(), one, NewStoreSource(store, nil))
	if one.Version() != 1 || two.Version() != 2 {
		t.Fatalf("got versions %d and %d, want 1 and 2", one.Version(), two.Version())
	}
	invalid := Manifest{Version: 9, Parts: map[string]Part{"X": {Hash: two.Manifest.Parts["A"].Hash, ChangedVersion: 9}}}
	invalidHead, invalidBuckets := Encode(invalid)
	withInvalid := func(hash string) ([]byte, bool) {
		if content, ok := invalidBuckets[hash]; ok {
			return content, true
		}

		return two.Part(hash)
	}
	for name, c := range map[string]struct {
		current *Snapshot
		source  Source
		want    LoadOutcome
		version uint64
	}{
		"newer":         {one, snapshotSource(two.Part), LoadInstalled, 2},
		"the same":      {two, snapshotSource(two.Part), LoadNotNewer, 2},
		"older":         {two, snapshotSource(one.Part), LoadNotNewer, 2},
		"none":          {two, snapshotSource((*Snapshot)(nil).Part), LoadUnavailable, 2},
		"a part missed": {one, changedSource{snapshotSource(two.Part), func(string, []byte) ([]byte, bool) { return nil, false }}, LoadIncomplete, 1},
		"a part altered": {one, changedSource{snapshotSource(two.Part), func(_ string, content []byte) ([]byte, bool) {
			return append(slices.Clone(content), '\n'), true
		}}, LoadIncomplete, 1},
		"another team's file": {two, snapshotSource(func(hash string) ([]byte, bool) {
			if hash == "" {
				return invalidHead, true
			}

			return withInvalid(hash)
		}), LoadInvalid, 2},
		"a malformed head": {two, snapshotSource(func(string) ([]byte, bool) { return []byte("x"), true }), LoadInvalid, 2},
	} {
		got, outcome, _ := Load(t.Context(), c.current, c.source)
		if outcome != c.want || got.Version() != c.version {
			t.Errorf("%s: got %v and version %d, want %v and %d", name, outcome, got.Version(), c.want, c.version)
		}
	}
	if got, want := two.Configuration.ClientAccounts.Len(), 2; got != want {
		t.Errorf("got %d client accounts, want %d", got, want)
	}
}

// snapshotSource serves what a peer's snapshot holds.
type snapshotSource func(hash string) ([]byte, bool)

func (s snapshotSource) Head(context.Context) ([]byte, bool) { return s("") }

func (s snapshotSource) Part(_ context.Context, hash string) ([]byte, bool) { return s(hash) }
