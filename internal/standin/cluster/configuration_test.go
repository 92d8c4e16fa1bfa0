package cluster_test

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
)

// Exit codes of the operators' client.
const (
	exitRejected = 1
	exitConflict = 4
)

// Guards against publications that are lost, reverted or in force on some daemons only.
// Publishers race, an acknowledgement is lost, a daemon restarts without the store, and
// another is frozen for several versions.
func TestConfigurationTakesEffectOnceAndStays(t *testing.T) {
	f := startFleet(t, 6, "Harbour")
	w, stop := f.watchVersions()

	f.publishTeamsConcurrently()
	f.publishOneTeamConcurrently()

	f.noError(f.SetPlatformFaults(t.Context(), `{"LoseAnswers": 2}`))
	f.waitForVersion(f.publish("Lost", "LostAnswer", 0), "LostAnswer")
	f.noError(f.SetPlatformFaults(t.Context(), `{}`))

	before, _ := f.status(f.Daemons[0])
	f.publish("Rejected", "Wrong]\nRate = 0/s\nBurst = 1\n[ClientAccount Other", exitRejected)

	frozen := f.Daemons[4]
	f.noError(f.PauseDaemon(frozen))

	var newestVersion uint64

	for n := range 4 {
		newestVersion = f.publish("Frozen", fmt.Sprintf("Frozen%d", n), 0)
		if n == 0 && newestVersion != before.ConfigurationVersion+1 {
			t.Errorf("got version %d after a rejected publication, want %d", newestVersion, before.ConfigurationVersion+1)
		}
	}

	f.noError(f.ResumeDaemon(frozen))
	f.waitForVersion(newestVersion, "Frozen3")

	f.noError(f.SetPlatformFaults(t.Context(), `{"Outage": true}`))

	restarted := f.Daemons[2]
	f.noError(f.KillDaemon(restarted))
	w.allowNoVersion(restarted.Name)
	f.noError(f.StartDaemon(restarted))
	f.waitForVersion(newestVersion, "Frozen3")
	f.noError(f.SetPlatformFaults(t.Context(), `{}`))
	time.Sleep(2 * time.Second)
	stop()

	if w.samples == 0 || w.changes < 8*len(f.Daemons) {
		t.Errorf("got %d samples with %d changes of a version, want at least %d changes", w.samples, w.changes, 8*len(f.Daemons))
	}
}

// publish publishes a team with one client account and returns the new version. The client
// must end with the given exit code.
func (f *fleet) publish(team, account string, want int) uint64 {
	f.t.Helper()

	version, code := f.tryPublish(team, account)
	if code != want {
		f.t.Errorf("publishing %s: got exit code %d, want %d", team, code, want)
	}

	return version
}

// tryPublish publishes a team with one client account and returns the new version and the
// client's exit code.
func (f *fleet) tryPublish(team, account string) (version uint64, code int) {
	text := fmt.Sprintf("Team = %s\n[ClientAccount %s]\nRate = 10/s\nBurst = 20\n", team, account)
	path := f.writeFile(fmt.Sprintf("%s-%d.ini", team, time.Now().UnixNano()), text)

	output, err := f.RunClientWithInput(f.t.Context(), "", "--operator", "test", "publish", "--wait", "1s", path)

	var exitError *exec.ExitError

	switch {
	case errors.As(err, &exitError):
		return 0, exitError.ExitCode()
	case err != nil:
		f.t.Error(err)

		return 0, -1
	}

	if _, err := fmt.Sscanf(output, "version %d is published", &version); err != nil {
		f.t.Errorf("output %q: %v", output, err)
	}

	return version, 0
}

// waitForVersion waits until every daemon runs the given or a newer version, with the
// accounts.
func (f *fleet) waitForVersion(version uint64, accounts ...string) {
	f.t.Helper()

	deadline := time.Now().Add(configurationBound)

	for _, daemon := range f.Daemons {
		f.waitUntil(time.Until(deadline), fmt.Sprintf("%s runs version %d with %v", daemon.Name, version, accounts), func() bool {
			status, ok := f.status(daemon)

			return ok && status.ConfigurationVersion >= version && !slices.ContainsFunc(accounts, func(name string) bool {
				return !hasAccount(status, name)
			})
		})
	}
}

func hasAccount(status operator.Status, name string) bool {
	return slices.ContainsFunc(status.ClientAccounts, func(one operator.ClientAccount) bool { return one.Name == name })
}

// publishTeamsConcurrently publishes different teams at once. All must take effect.
func (f *fleet) publishTeamsConcurrently() {
	f.t.Helper()

	const teams = 4

	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		newest   uint64
		accounts []string
	)

	for n := range teams {
		group.Go(func() {
			account := fmt.Sprintf("Parallel%d", n)
			version := f.publish(fmt.Sprintf("Parallel%d", n), account, 0)

			mu.Lock()
			defer mu.Unlock()

			newest = max(newest, version)
			accounts = append(accounts, account)
		})
	}

	group.Wait()
	f.waitForVersion(newest, accounts...)
}

// publishOneTeamConcurrently publishes versions of one team at once. One must take effect
// and the others must be refused with a conflict. The store is slow, so that they overlap.
func (f *fleet) publishOneTeamConcurrently() {
	f.t.Helper()
	f.noError(f.SetPlatformFaults(f.t.Context(), `{"Latency": "300ms"}`))

	const publishers = 3

	versions, codes := make([]uint64, publishers), make([]int, publishers)

	var group sync.WaitGroup

	for n := range publishers {
		group.Go(func() { versions[n], codes[n] = f.tryPublish("SameTeam", fmt.Sprintf("SameTeam%d", n)) })
	}

	group.Wait()
	f.noError(f.SetPlatformFaults(f.t.Context(), `{}`))

	winner := slices.Index(codes, 0)
	if sorted := slices.Sorted(slices.Values(codes)); winner < 0 || !slices.Equal(sorted, []int{0, exitConflict, exitConflict}) {
		f.t.Fatalf("got exit codes %v, want one 0 and the others %d", codes, exitConflict)
	}

	f.waitForVersion(versions[winner], fmt.Sprintf("SameTeam%d", winner))

	status, _ := f.status(f.Daemons[0])
	for n := range publishers {
		if account := fmt.Sprintf("SameTeam%d", n); n != winner && hasAccount(status, account) {
			f.t.Errorf("%s is in force, although its publisher was told of a conflict", account)
		}
	}
}

// versionSampler samples the configuration version that each daemon runs.
type versionSampler struct {
	mu               sync.Mutex
	last             map[string]uint64
	samples, changes int
	// mayHaveNone holds the restarted daemons, which have no version until they install one.
	mayHaveNone map[string]bool
}

// allowNoVersion allows a restarted daemon to have no version until it has installed one.
func (w *versionSampler) allowNoVersion(daemon string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.mayHaveNone[daemon] = true
}

// watchVersions samples until the returned function is called. It fails the test if a
// daemon runs an older version than it ran before.
func (f *fleet) watchVersions() (*versionSampler, func()) {
	w := &versionSampler{last: make(map[string]uint64), mayHaveNone: make(map[string]bool)}
	ctx, cancel := context.WithCancel(f.t.Context())

	var group sync.WaitGroup

	for _, daemon := range f.Daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				f.sampleVersion(ctx, w, daemon)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}

	return w, func() {
		cancel()
		group.Wait()
	}
}

func (f *fleet) sampleVersion(ctx context.Context, w *versionSampler, daemon *cluster.Daemon) {
	client, closeClient := operator.NewClient("test")
	defer closeClient()

	status, outcome := client.Status(ctx, daemon.OperatorAddress)
	if outcome != operator.Confirmed {
		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	got, last := status.ConfigurationVersion, w.last[daemon.Name]
	w.samples++

	if got == 0 && w.mayHaveNone[daemon.Name] {
		return
	}

	if got < last {
		f.t.Errorf("%s runs version %d after version %d", daemon.Name, got, last)
	}

	if got > last {
		w.changes++
	}

	w.last[daemon.Name] = got
}
