// Package demo runs a small fleet as separate processes under traffic, injects faults and
// prints the outcomes that callers received.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

// The demo has the four availability zones and services of Lima, 8 daemons and 32
// upstreams.
const (
	daemonCount      = 8
	slotsPerUpstream = 3
	serviceTime      = 15 * time.Millisecond
	seed             = 7
	// callTimeout is longer than every service's deadline.
	callTimeout = 10 * time.Second
	// withdrawalBound is the time after which a withdrawn key must no longer work.
	withdrawalBound = 3 * time.Second
	host            = "estanques.example"
)

// Options configure the demo.
type Options struct {
	// ProgramDir is the directory of the built programs.
	ProgramDir string
	// TeamsDir is the directory of the team files.
	TeamsDir string
	// WorkDir is the directory for settings files and logs. If it is empty, a temporary
	// directory is used and removed.
	WorkDir string
	Output  io.Writer
}

// stage is an event during the traffic.
type stage struct {
	// startAfter is the time from the start of the traffic.
	startAfter  time.Duration
	description string
	run         func(ctx context.Context) error
}

// demo is the state of one run.
type demo struct {
	Options
	cluster *cluster.Cluster
	// keys holds the API keys by client account.
	keys map[string]string
	// turnedGrayAt is the time at which the upstream was slowed down, and withdrawnAt the
	// time at which the key's withdrawal began.
	turnedGrayAt, withdrawnAt time.Time
	// grayUpstream is the name of the slow upstream.
	grayUpstream string
	// detectionTime is the time from turnedGrayAt until the daemon beside the upstream
	// considered it suspect; 0 if it did not.
	detectionTime time.Duration
}

// Run runs the demo and prints its report. It returns an error if a request was lost, ran
// more often than allowed, was wrongly answered or falsely refused, if the withdrawn key
// worked for too long, if an upstream received a key, or if the gray upstream was not
// detected.
func Run(ctx context.Context, options Options) error {
	d := &demo{Options: options, keys: make(map[string]string)}

	if d.WorkDir == "" {
		dir, err := os.MkdirTemp("", "kumquatshelf-demo-")
		if err != nil {
			return fmt.Errorf("create directory for logs: %w", err)
		}

		defer func() { _ = os.RemoveAll(dir) }()

		d.WorkDir = dir
	}

	runningCluster, stop, err := cluster.New(ctx, cluster.Plan{
		ProgramDir: d.ProgramDir, WorkDir: d.WorkDir, Zones: []string{"lima-a", "lima-b", "lima-c", "lima-d"}, Daemons: daemonCount,
		Services: []string{"Calendar", "Booking", "Notice", "Launch"}, SlotsPerUpstream: slotsPerUpstream, ServiceTime: serviceTime,
	})
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}

	defer stop()

	d.cluster = runningCluster
	d.printf("started the platform, %d daemons and %d upstreams as separate processes", daemonCount, 4*daemonCount)

	if err := d.prepare(ctx); err != nil {
		return err
	}

	results, err := d.runTraffic(ctx)
	if err != nil {
		return err
	}

	return d.report(ctx, results)
}

// printf writes a line to Output.
func (d *demo) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.Output, format+"\n", arguments...)
}

// prepare publishes the example configuration, issues a key to each client account and
// waits until the fleet serves them.
func (d *demo) prepare(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(d.TeamsDir, "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no team files in %s", d.TeamsDir)
	}

	output, err := d.cluster.RunClient(ctx, append([]string{"--operator", "demo", "publish"}, files...)...)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	d.printf("%s", strings.TrimSpace(output))

	for _, stream := range streams(d.keys) {
		if _, known := d.keys[stream.ClientAccount]; known || stream.ClientAccount == "" {
			continue
		}

		key, err := d.cluster.RunClient(ctx, "--operator", "demo", "key", "give", stream.ClientAccount)
		if err != nil {
			return fmt.Errorf("issue key: %w", err)
		}

		d.keys[stream.ClientAccount] = strings.TrimSpace(key)
	}

	return d.waitUntilServing(ctx)
}

// streams returns the callers' streams. All except Flood, which sends ten times its rate,
// stay within the rate of their client account.
func streams(keys map[string]string) []load.Stream {
	streamList := []load.Stream{
		{Name: "Calendar", ClientAccount: "ClubMiraflores", Method: http.MethodGet, Path: "/calendar/pond-1", Rate: 30, Idempotent: true, DaemonIndex: -1},
		{Name: "Booking", ClientAccount: "ClubMiraflores", Method: http.MethodPost, Path: "/bookings", Rate: 10, DaemonIndex: -1},
		{Name: "Skewed", ClientAccount: "ClubBarranco", Method: http.MethodGet, Path: "/calendar/pond-2", Rate: 30, Idempotent: true, DaemonIndex: 2},
		{Name: "Launch", ClientAccount: "MuellePrincipal", Method: http.MethodPost, Path: "/launches", Rate: 20, DaemonIndex: -1},
		{Name: "Roster", ClientAccount: "OficinaParques", Method: http.MethodGet, Path: "/rosters/today", Rate: 12, Idempotent: true, DaemonIndex: -1},
		{Name: "Notice", Method: http.MethodGet, Path: "/notices", Rate: 20, Idempotent: true, DaemonIndex: -1},
		{Name: "Withdrawn", ClientAccount: "ClubAncon", Method: http.MethodGet, Path: "/rotas", Rate: 6, Idempotent: true, DaemonIndex: -1},
		{Name: "Flood", ClientAccount: "EscuelaSurco", Method: http.MethodGet, Path: "/calendar/pond-3", Rate: 50, Idempotent: true, DaemonIndex: -1},
		{Name: "School", ClientAccount: "EscuelaLince", Method: http.MethodGet, Path: "/launches", Rate: 3, Idempotent: true, DaemonIndex: -1},
	}
	for i := range streamList {
		streamList[i].Host = host
		streamList[i].Key = keys[streamList[i].ClientAccount]
	}

	return streamList
}

// waitUntilServing waits until every daemon serves every stream.
func (d *demo) waitUntilServing(ctx context.Context) error {
	client, closeClient := load.NewClient(d.cluster.CallerAddresses(), "settle", callTimeout)
	defer closeClient()

	deadline := time.Now().Add(20 * time.Second)

	for _, stream := range streams(d.keys) {
		for _, daemon := range d.cluster.CallerAddresses() {
			for n := 0; ; n++ {
				result := client.SendTo(ctx, stream, fmt.Sprintf("settle-%s-%s-%d", stream.Name, daemon, n), daemon)
				if result.Verdict == load.Ran {
					break
				}

				if time.Now().After(deadline) {
					return fmt.Errorf("daemon %s does not serve %s: %s %s", daemon, stream.Name, result.Verdict, result.Reason)
				}

				time.Sleep(100 * time.Millisecond)
			}
		}
	}

	// The requests above used up the bursts of client accounts with small limits, which
	// refill in this time.
	time.Sleep(4 * time.Second)

	return nil
}

// runTraffic sends the streams' requests while the stages run, and returns the results.
func (d *demo) runTraffic(ctx context.Context) ([]load.Result, error) {
	client, closeClient := load.NewClient(d.cluster.CallerAddresses(), "demo", callTimeout)
	defer closeClient()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	finished := make(chan []load.Result, 1)

	go func() { finished <- client.Run(ctx, streams(d.keys), seed) }()

	began := time.Now()

	for _, upcoming := range d.stages() {
		time.Sleep(time.Until(began.Add(upcoming.startAfter)))
		d.printf("%5.1fs  %s", time.Since(began).Seconds(), upcoming.description)

		if err := upcoming.run(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", upcoming.description, err)
		}
	}

	cancel()

	return <-finished, nil
}
