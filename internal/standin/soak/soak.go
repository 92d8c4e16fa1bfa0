// Package soak runs a fleet of real processes, injects random faults from outside of them,
// and checks the outcomes that callers receive against what upstreams ran.
package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

const (
	host = "estanques.example"
	// callTimeout is longer than the longest pause plus a service's deadline.
	callTimeout = 20 * time.Second
	// startBound is the time within which a fleet without faults must serve all streams
	// after its start.
	startBound = 30 * time.Second
	// recoveryBound is the time after the last fault within which all streams must be served
	// again.
	recoveryBound = 15 * time.Second
	// calmDuration is how long requests continue after recoveryBound.
	calmDuration     = 4 * time.Second
	slotsPerUpstream = 3
	serviceTime      = 12 * time.Millisecond
	// statusInterval is the time between two checks of the daemons' versions.
	statusInterval = 500 * time.Millisecond

	withdrawnAccount = "SoakWithdrawn"
	limitedAccount   = "SoakLimited"
	limitedRate      = 20
	limitedBurst     = 60
)

// soakTeam adds the client accounts of the soak to the example configuration. The rate and
// burst of SoakLimited equal limitedRate and limitedBurst.
const soakTeam = `Team = Soak
[ClientAccount SoakSteady]
Rate = 1000/s
Burst = 2000
[ClientAccount SoakWithdrawn]
Rate = 200/s
Burst = 400
[ClientAccount SoakLimited]
Rate = 20/s
Burst = 60
`

// services are the services of the example configuration.
var services = []string{"Calendar", "Booking", "Notice", "Launch"}

// Options configure a run.
type Options struct {
	// ProgramDir is the directory of the built programs, and TeamsDir the directory of the
	// example configuration's team files.
	ProgramDir, TeamsDir string
	// WorkDir is the directory for settings files and logs.
	WorkDir string
	Seed    uint64
	Daemons int
	// FaultDuration is the length of the period in which faults and planned work, such as
	// restarts, are started.
	FaultDuration time.Duration
	Output        io.Writer
}

// soak is the state of one run.
type soak struct {
	Options
	cluster  *cluster.Cluster
	timeline timeline
	keys     map[string]string

	// daemonLocks, upstreamLocks and platformLock are held by the step that disturbs the
	// daemon, the upstreams beside it, or the platform.
	daemonLocks, upstreamLocks []sync.Mutex
	platformLock               sync.Mutex
	// restartCounts holds the number of restarts of each daemon.
	restartCounts []atomic.Int64
	// publicationCount is the number of publications that steps have started.
	publicationCount atomic.Int64
	// withdrawalStarted reports that the key's withdrawal was attempted, and withdrawnAt when
	// it was confirmed. Requests may fail in between.
	withdrawalStarted atomic.Bool
	withdrawnAt       atomic.Pointer[time.Time]
}

// Run runs a fleet under the faults that the seed selects. It returns the findings, which
// describe violated guarantees. The error is not nil if the run could not be carried out.
func Run(ctx context.Context, options Options) ([]string, error) {
	s := &soak{
		Options: options, keys: make(map[string]string), daemonLocks: make([]sync.Mutex, options.Daemons),
		upstreamLocks: make([]sync.Mutex, options.Daemons), restartCounts: make([]atomic.Int64, options.Daemons),
	}

	runningCluster, stop, err := cluster.New(ctx, cluster.Plan{
		ProgramDir: s.ProgramDir, WorkDir: s.WorkDir, Zones: []string{"a", "b", "c"}, Daemons: s.Daemons, Services: services,
		SlotsPerUpstream: slotsPerUpstream, ServiceTime: serviceTime, WithProxies: true,
	})
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}

	defer stop()

	s.cluster = runningCluster

	if err := s.prepare(ctx); err != nil {
		return nil, err
	}

	results, faultsEndedAt := s.runTraffic(ctx)

	if err := s.checkResults(ctx, results, faultsEndedAt); err != nil {
		return nil, err
	}

	return s.timeline.allFindings(), nil
}

// logf writes a line with the seed to Output.
func (s *soak) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Output, "seed %d: "+format+"\n", append([]any{s.Seed}, arguments...)...)
}

// prepare publishes the configuration, issues the keys and waits until all daemons serve
// all streams.
func (s *soak) prepare(ctx context.Context) error {
	teamFile := filepath.Join(s.WorkDir, "soak.ini")
	if err := os.WriteFile(teamFile, []byte(soakTeam), 0o600); err != nil {
		return fmt.Errorf("write team file: %w", err)
	}

	files, err := filepath.Glob(filepath.Join(s.TeamsDir, "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no team files in %s", s.TeamsDir)
	}

	if _, err := s.cluster.RunClient(ctx, append([]string{"--operator", "soak", "publish", teamFile}, files...)...); err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	for _, account := range []string{"SoakSteady", withdrawnAccount, limitedAccount} {
		key, err := s.cluster.RunClient(ctx, "--operator", "soak", "key", "give", account)
		if err != nil {
			return fmt.Errorf("issue key: %w", err)
		}

		s.keys[account] = strings.TrimSpace(key)
	}

	client, closeClient := load.NewClient(s.cluster.CallerAddresses(), "settle", callTimeout)
	defer closeClient()

	for deadline := time.Now().Add(startBound); ; time.Sleep(100 * time.Millisecond) {
		refused := 0

		for _, stream := range s.streams() {
			for _, daemon := range s.cluster.CallerAddresses() {
				if client.SendTo(ctx, stream, "settle", daemon).Verdict != load.Ran {
					refused++
				}
			}
		}

		if refused == 0 {
			return nil
		}

		if time.Now().After(deadline) {
			return fmt.Errorf("%d requests are not served %s after the start", refused, startBound)
		}
	}
}

// streams returns the callers' streams. All except the one of limitedAccount, which sends
// twice its rate, stay within their account's rate.
func (s *soak) streams() []load.Stream {
	streamList := []load.Stream{
		{Name: "Booking", ClientAccount: "SoakSteady", Method: http.MethodPost, Path: "/bookings", Rate: 40},
		{Name: "Launch", ClientAccount: "SoakSteady", Method: http.MethodPost, Path: "/launches", Rate: 25},
		{Name: "Calendar", ClientAccount: "SoakSteady", Method: http.MethodGet, Path: "/calendar/pond", Rate: 40, Idempotent: true},
		{Name: "Notice", Method: http.MethodGet, Path: "/notices", Rate: 20, Idempotent: true},
		{Name: "Withdrawn", ClientAccount: withdrawnAccount, Method: http.MethodGet, Path: "/rotas", Rate: 15, Idempotent: true},
		{Name: "Limited", ClientAccount: limitedAccount, Method: http.MethodPost, Path: "/bookings", Rate: 2 * limitedRate},
	}
	for i := range streamList {
		streamList[i].Host, streamList[i].Key, streamList[i].DaemonIndex = host, s.keys[streamList[i].ClientAccount], -1
	}

	return streamList
}

// runTraffic sends traffic while the steps of the schedule run, and for recoveryBound and
// calmDuration after them. It returns the results and the time at which the last fault was
// removed.
func (s *soak) runTraffic(ctx context.Context) ([]load.Result, time.Time) {
	client, closeClient := load.NewClient(s.cluster.CallerAddresses(), "run", callTimeout)
	defer closeClient()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	finished := make(chan []load.Result, 1)

	go func() { finished <- client.Run(ctx, s.streams(), s.Seed) }()

	var versionWatch, runningSteps sync.WaitGroup

	versionWatch.Go(func() { s.watchVersions(ctx) })

	began := time.Now()

	for _, planned := range newSchedule(s.Seed, s.FaultDuration, s.Daemons, len(services)) {
		sleep(ctx, time.Until(began.Add(planned.startAt)))
		s.logf("%s", planned)
		runningSteps.Go(func() { s.runStep(ctx, planned) })
	}

	runningSteps.Wait()

	for _, daemon := range s.cluster.Daemons {
		daemon.PeerProxy.SetFaults(noFaults)
		daemon.PlatformProxy.SetFaults(noFaults)
	}

	faultsEndedAt := time.Now()

	sleep(ctx, recoveryBound+calmDuration)
	cancel()
	versionWatch.Wait()

	return <-finished, faultsEndedAt
}

// watchVersions adds a finding for each daemon that goes back to an older version without a
// restart.
func (s *soak) watchVersions(ctx context.Context) {
	client, closeClient := operator.NewClient("soak")
	defer closeClient()

	newest, restarts := make([]uint64, s.Daemons), make([]int64, s.Daemons)

	for ctx.Err() == nil {
		for i, daemon := range s.cluster.Daemons {
			before := s.restartCounts[i].Load()

			ctx, cancel := context.WithTimeout(ctx, statusInterval)
			status, outcome := client.Status(ctx, daemon.OperatorAddress)

			cancel()

			if outcome != operator.Confirmed || s.restartCounts[i].Load() != before {
				continue
			}

			if restarts[i] == before && status.ConfigurationVersion < newest[i] {
				s.timeline.addFinding(fmt.Sprintf("daemon %s went back from version %d to %d",
					daemon.Name, newest[i], status.ConfigurationVersion))
			}

			newest[i], restarts[i] = status.ConfigurationVersion, before
		}

		sleep(ctx, statusInterval)
	}
}

// distinctVersions returns the distinct configuration versions that the daemons run, sorted.
// A daemon that does not answer counts as version 0.
func (s *soak) distinctVersions(ctx context.Context) []uint64 {
	client, closeClient := operator.NewClient("soak")
	defer closeClient()

	var versions []uint64

	for _, daemon := range s.cluster.Daemons {
		status, _ := client.Status(ctx, daemon.OperatorAddress)
		versions = append(versions, status.ConfigurationVersion)
	}

	slices.Sort(versions)

	return slices.Compact(versions)
}
