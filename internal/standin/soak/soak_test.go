package soak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/soak"
)

var bin string

func TestMain(m *testing.M) {
	os.Exit(cluster.RunWithPrograms(func(dir string) int {
		bin = dir

		return m.Run()
	}))
}

// Guards against promises that break while faults of several kinds overlap. Seeds
// that broke one stay here.
func TestRun(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{seed: 7, cause: "the check itself: callers were refused connections while all daemons were stopped"},
		{seed: 9, cause: "a request above its limit waited for a token until nothing was left to run it"},
	} {
		t.Run(fmt.Sprint("Seed", c.seed), func(t *testing.T) {
			t.Parallel()

			findings, err := soak.Run(t.Context(), soak.Options{
				ProgramDir: bin, TeamsDir: "../../../examples/lima/teams", WorkDir: t.TempDir(), Seed: c.seed, Daemons: 6,
				FaultDuration: 20 * time.Second, Output: t.Output(),
			})
			if err != nil {
				t.Fatal(err)
			}

			for _, finding := range findings {
				t.Errorf("got %s, want no broken promise (the seed is kept for: %s)", finding, c.cause)
			}
		})
	}
}
