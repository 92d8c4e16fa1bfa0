package keystore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// Guards against wrong outcomes and against a withdrawn key that becomes valid again
// (R4).
func TestIssueAndWithdraw(t *testing.T) {
	t.Parallel()
	hash := Hash("k")
	issue, withdraw := "issue", "withdraw"
	for name, c := range map[string]struct {
		before  []string
		faults  platform.Faults
		action  string
		account string
		want    fleet.StoreOutcome
		version uint64 // returned by Withdraw
		stored  string
	}{
		"issue":                     {nil, platform.Faults{}, issue, "A", fleet.StoreOK, 0, "{A false}"},
		"issue twice":               {[]string{issue}, platform.Faults{}, issue, "A", fleet.StoreOK, 0, "{A false}"},
		"issue to another account":  {[]string{issue}, platform.Faults{}, issue, "B", fleet.StoreConflict, 0, "{A false}"},
		"issue a withdrawn key":     {[]string{issue, withdraw}, platform.Faults{}, issue, "A", fleet.StoreConflict, 0, "{A true}"},
		"issue, answer lost":        {nil, platform.Faults{LoseAnswers: 1}, issue, "A", fleet.StoreOK, 0, "{A false}"},
		"issue in an outage":        {nil, platform.Faults{Outage: true}, issue, "A", fleet.StoreUnavailable, 0, "{ false}"},
		"issue after the deadline":  {nil, platform.Faults{Latency: 90 * time.Second}, issue, "A", fleet.StoreAmbiguous, 0, "{A false}"},
		"withdraw":                  {[]string{issue}, platform.Faults{}, withdraw, "", fleet.StoreOK, 1, "{A true}"},
		"withdraw an absent key":    {nil, platform.Faults{}, withdraw, "A", fleet.StoreOK, 0, "{A true}"},
		"withdraw twice":            {[]string{issue, withdraw}, platform.Faults{}, withdraw, "", fleet.StoreOK, 2, "{A true}"},
		"withdraw, answer lost":     {[]string{issue}, platform.Faults{LoseAnswers: 1}, withdraw, "", fleet.StoreOK, 1, "{A true}"},
		"withdraw in an outage":     {[]string{issue}, platform.Faults{Outage: true}, withdraw, "", fleet.StoreUnavailable, 0, "{A false}"},
		"withdraw after the answer": {[]string{issue}, platform.Faults{Latency: 40 * time.Second}, withdraw, "", fleet.StoreAmbiguous, 1, "{A true}"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := platform.New(rand.New(rand.NewPCG(1, 2)))
				issueOrWithdraw := func(action, account string) (uint64, fleet.StoreOutcome) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					if action == withdraw {
						return Withdraw(ctx, store, hash, account)
					}

					return 0, Issue(ctx, store, hash, account)
				}
				for _, action := range c.before {
					issueOrWithdraw(action, "A")
				}
				store.SetFaults(c.faults)
				version, got := issueOrWithdraw(c.action, c.account)
				if got != c.want || version != c.version {
					t.Errorf("got %v and version %d, want %v and %d", got, version, c.want, c.version)
				}
				time.Sleep(2 * time.Minute)
				store.SetFaults(platform.Faults{})
				object, _ := store.Get(t.Context(), Kind, hash)
				if key, _ := Decode(object); fmt.Sprint(key) != c.stored {
					t.Errorf("got %v in the store, want %s", key, c.stored)
				}
			})
		})
	}
}

// Guards against a key that is still valid, or becomes valid again, after Issue and
// Withdraw were called concurrently and Withdraw succeeded.
func TestConcurrentIssueAndWithdrawEndWithdrawn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := platform.New(rand.New(rand.NewPCG(seed, 2)))
			var history []bool
			store.Observe(func(o fleet.Object) {
				key, _ := Decode(o)
				history = append(history, key.Withdrawn)
			})
			store.SetFaults(platform.Faults{Latency: 10 * time.Millisecond, LoseAnswers: 0.3})
			var calls sync.WaitGroup
			withdrawn := false
			for i := range 5 {
				delay := time.Duration(random.IntN(40)) * time.Millisecond
				calls.Go(func() {
					time.Sleep(delay)
					if i > 0 {
						Issue(t.Context(), store, Hash("k"), "A")
					} else if _, outcome := Withdraw(t.Context(), store, Hash("k"), "A"); outcome == fleet.StoreOK {
						withdrawn = true
					}
				})
			}
			calls.Wait()
			if first := slices.Index(history, true); !withdrawn || first != len(history)-1 {
				t.Errorf("seed %d: got history %v of withdrawn, want exactly one true at the end", seed, history)
			}
		})
	}
}
