// Package soak runs a fleet of real processes, injects random faults from outside
// them, and checks what callers and upstreams see.
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
	// startBound is within which a fleet without faults serves everything.
	startBound = 30 * time.Second
	// recovery is the time after the last fault within which everything must be
	// served again.
	recovery = 15 * time.Second
	// calm is how long requests go on after that.
	calm        = 4 * time.Second
	slots       = 3
	serviceTime = 12 * time.Millisecond
	// statusInterval is the time between two looks at the daemons' versions.
	statusInterval = 500 * time.Millisecond

	withdrawnAccount = "SoakWithdrawn"
	limitedAccount   = "SoakLimited"
	limitedRate      = 20
	limitedBurst     = 60
)

// team adds the client accounts of the soak to the example configuration.
const team = `Team = Soak
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

// services are those of the example configuration.
var services = []string{"Calendar", "Booking", "Notice", "Launch"}

// Options of a run.
type Options struct {
	// ProgramDir is the directory of the programs, and TeamsDir that of the team files.
	ProgramDir, TeamsDir string
	// WorkDir keeps settings and logs.
	WorkDir string
	Seed    uint64
	Daemons int
	// FaultDuration is how long faults go on.
	FaultDuration time.Duration
	Output        io.Writer
}

type soak struct {
	Options
	cluster  *cluster.Cluster
	timeline timeline
	keys     map[string]string

	// daemons, upstreams and platform are locked by the step that disturbs them.
	daemons, upstreams []sync.Mutex
	platform           sync.Mutex
	// starts counts how often each daemon was started again.
	starts      []atomic.Int64
	published   atomic.Int64
	withdrawing atomic.Bool
	withdrawnAt atomic.Pointer[time.Time]
}

// Run runs one seed. It returns the promises that were broken.
func Run(ctx context.Context, options Options) ([]string, error) {
	s := &soak{
		Options: options, keys: make(map[string]string), daemons: make([]sync.Mutex, options.Daemons),
		upstreams: make([]sync.Mutex, options.Daemons), starts: make([]atomic.Int64, options.Daemons),
	}

	running, stop, err := cluster.New(ctx, cluster.Plan{
		ProgramDir: s.ProgramDir, WorkDir: s.WorkDir, Zones: []string{"a", "b", "c"}, Daemons: s.Daemons, Services: services,
		SlotsPerUpstream: slots, ServiceTime: serviceTime, WithProxies: true,
	})
	if err != nil {
		return nil, fmt.Errorf("start the fleet: %w", err)
	}

	defer stop()

	s.cluster = running

	if err := s.prepare(ctx); err != nil {
		return nil, err
	}

	results, healedAt := s.disturb(ctx)

	if err := s.judge(ctx, results, healedAt); err != nil {
		return nil, err
	}

	return s.timeline.all(), nil
}

func (s *soak) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Output, "seed %d: "+format+"\n", append([]any{s.Seed}, arguments...)...)
}

// prepare publishes the configuration, gives the keys and waits until all daemons
// serve all streams.
func (s *soak) prepare(ctx context.Context) error {
	file := filepath.Join(s.WorkDir, "soak.ini")
	if err := os.WriteFile(file, []byte(team), 0o600); err != nil {
		return fmt.Errorf("write the team file: %w", err)
	}

	files, err := filepath.Glob(filepath.Join(s.TeamsDir, "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no team files in %s", s.TeamsDir)
	}

	if _, err := s.cluster.RunClient(ctx, append([]string{"--operator", "soak", "publish", file}, files...)...); err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	for _, account := range []string{"SoakSteady", withdrawnAccount, limitedAccount} {
		key, err := s.cluster.RunClient(ctx, "--operator", "soak", "key", "give", account)
		if err != nil {
			return fmt.Errorf("give a key: %w", err)
		}

		s.keys[account] = strings.TrimSpace(key)
	}

	client, closeClient := load.NewClient(s.cluster.CallerAddresses(), "settle", callTimeout)
	defer closeClient()

	for until := time.Now().Add(startBound); ; time.Sleep(100 * time.Millisecond) {
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

		if time.Now().After(until) {
			return fmt.Errorf("%d requests are not served %s after the start", refused, startBound)
		}
	}
}

// streams are the callers. All but those of limitedAccount stay within their rate.
func (s *soak) streams() []load.Stream {
	list := []load.Stream{
		{Name: "Booking", ClientAccount: "SoakSteady", Method: http.MethodPost, Path: "/bookings", Rate: 40},
		{Name: "Launch", ClientAccount: "SoakSteady", Method: http.MethodPost, Path: "/launches", Rate: 25},
		{Name: "Calendar", ClientAccount: "SoakSteady", Method: http.MethodGet, Path: "/calendar/pond", Rate: 40, Idempotent: true},
		{Name: "Notice", Method: http.MethodGet, Path: "/notices", Rate: 20, Idempotent: true},
		{Name: "Withdrawn", ClientAccount: withdrawnAccount, Method: http.MethodGet, Path: "/rotas", Rate: 15, Idempotent: true},
		{Name: "Limited", ClientAccount: limitedAccount, Method: http.MethodPost, Path: "/bookings", Rate: 2 * limitedRate},
	}
	for i := range list {
		list[i].Host, list[i].Key, list[i].DaemonIndex = host, s.keys[list[i].ClientAccount], -1
	}

	return list
}

// disturb sends traffic while the steps of the schedule happen, and for a calm time
// after it. It returns the results and when the last step had been healed.
func (s *soak) disturb(ctx context.Context) ([]load.Result, time.Time) {
	client, closeClient := load.NewClient(s.cluster.CallerAddresses(), "run", callTimeout)
	defer closeClient()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	finished := make(chan []load.Result, 1)

	go func() { finished <- client.Run(ctx, s.streams(), s.Seed) }()

	var watching, steps sync.WaitGroup

	watching.Go(func() { s.watchVersions(ctx) })

	began := time.Now()

	for _, one := range schedule(s.Seed, s.FaultDuration, s.Daemons, len(services)) {
		wait(ctx, time.Until(began.Add(one.at)))
		s.say("%s", one)
		steps.Go(func() { s.run(ctx, one) })
	}

	steps.Wait()

	for _, daemon := range s.cluster.Daemons {
		daemon.PeerProxy.SetFaults(noFaults)
		daemon.PlatformProxy.SetFaults(noFaults)
	}

	healedAt := time.Now()

	wait(ctx, recovery+calm)
	cancel()
	watching.Wait()

	return <-finished, healedAt
}

// watchVersions checks that no daemon goes back to an older version while it runs.
func (s *soak) watchVersions(ctx context.Context) {
	client, closeClient := operator.NewClient("soak")
	defer closeClient()

	newest, starts := make([]uint64, s.Daemons), make([]int64, s.Daemons)

	for ctx.Err() == nil {
		for i, daemon := range s.cluster.Daemons {
			before := s.starts[i].Load()

			ctx, cancel := context.WithTimeout(ctx, statusInterval)
			status, outcome := client.Status(ctx, daemon.OperatorAddress)

			cancel()

			if outcome != operator.Confirmed || s.starts[i].Load() != before {
				continue
			}

			if starts[i] == before && status.ConfigurationVersion < newest[i] {
				s.timeline.found(fmt.Sprintf("daemon %s went back from version %d to %d",
					daemon.Name, newest[i], status.ConfigurationVersion))
			}

			newest[i], starts[i] = status.ConfigurationVersion, before
		}

		wait(ctx, statusInterval)
	}
}

// versions returns the versions that the daemons run, without repeats.
func (s *soak) versions(ctx context.Context) []uint64 {
	client, closeClient := operator.NewClient("soak")
	defer closeClient()

	var list []uint64

	for _, daemon := range s.cluster.Daemons {
		status, _ := client.Status(ctx, daemon.OperatorAddress)
		list = append(list, status.ConfigurationVersion)
	}

	slices.Sort(list)

	return slices.Compact(list)
}
