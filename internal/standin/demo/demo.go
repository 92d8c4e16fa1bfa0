// Package demo runs a small fleet as separate processes, breaks some of it and
// shows what callers saw.
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

// Sizes of the demo: Lima's four availability zones and services, with 8
// daemons and 32 upstreams.
const (
	daemons     = 8
	slots       = 3
	serviceTime = 15 * time.Millisecond
	seed        = 7
	// callTimeout is longer than every service's deadline.
	callTimeout = 10 * time.Second
	// withdrawalBound is within which a withdrawn key must stop working.
	withdrawalBound = 3 * time.Second
	host            = "estanques.example"
)

// Options say where the demo finds its programs and files.
type Options struct {
	ProgramDir string
	// TeamsDir is the directory of the team files.
	TeamsDir string
	// WorkDir keeps settings and logs. A temporary directory is used if empty.
	WorkDir string
	Output  io.Writer
}

// stage is one thing that happens during the traffic.
type stage struct {
	after time.Duration
	what  string
	do    func(ctx context.Context) error
}

type demo struct {
	Options
	cluster *cluster.Cluster
	keys    map[string]string
	// grayAt and withdrawnAt are when these faults began.
	grayAt, withdrawnAt time.Time
	gray                string
	suspectAfter        time.Duration
}

// Run runs the demo. It returns an error if a request was lost, doubled,
// wrongly answered or falsely refused, or a bound was exceeded.
func Run(ctx context.Context, options Options) error {
	d := &demo{Options: options, keys: make(map[string]string)}

	if d.WorkDir == "" {
		dir, err := os.MkdirTemp("", "kumquatshelf-demo-")
		if err != nil {
			return fmt.Errorf("make a directory for logs: %w", err)
		}

		defer func() { _ = os.RemoveAll(dir) }()

		d.WorkDir = dir
	}

	running, stop, err := cluster.New(ctx, cluster.Plan{
		ProgramDir: d.ProgramDir, WorkDir: d.WorkDir, Zones: []string{"lima-a", "lima-b", "lima-c", "lima-d"}, Daemons: daemons,
		Services: []string{"Calendar", "Booking", "Notice", "Launch"}, SlotsPerUpstream: slots, ServiceTime: serviceTime,
	})
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}

	defer stop()

	d.cluster = running
	d.say("started the platform, %d daemons and %d upstreams as separate processes", daemons, 4*daemons)

	if err := d.prepare(ctx); err != nil {
		return err
	}

	results, err := d.traffic(ctx)
	if err != nil {
		return err
	}

	return d.report(ctx, results)
}

func (d *demo) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.Output, format+"\n", arguments...)
}

// prepare publishes the example configuration and gives a key to each account.
func (d *demo) prepare(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(d.TeamsDir, "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no team files in %s", d.TeamsDir)
	}

	output, err := d.cluster.RunClient(ctx, append([]string{"--operator", "demo", "publish"}, files...)...)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	d.say("%s", strings.TrimSpace(output))

	for _, stream := range streams(d.keys) {
		if _, known := d.keys[stream.ClientAccount]; known || stream.ClientAccount == "" {
			continue
		}

		key, err := d.cluster.RunClient(ctx, "--operator", "demo", "key", "give", stream.ClientAccount)
		if err != nil {
			return fmt.Errorf("give a key: %w", err)
		}

		d.keys[stream.ClientAccount] = strings.TrimSpace(key)
	}

	return d.settle(ctx)
}

// streams are the callers, all inside the rate of their client account except
// the one that is named Flood.
func streams(keys map[string]string) []load.Stream {
	list := []load.Stream{
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
	for i := range list {
		list[i].Host = host
		list[i].Key = keys[list[i].ClientAccount]
	}

	return list
}

// settle waits until every key works at every daemon.
func (d *demo) settle(ctx context.Context) error {
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

	// The requests above used up the bursts of the small client accounts.
	time.Sleep(4 * time.Second)

	return nil
}

// traffic sends the streams while the stages happen.
func (d *demo) traffic(ctx context.Context) ([]load.Result, error) {
	client, closeClient := load.NewClient(d.cluster.CallerAddresses(), "demo", callTimeout)
	defer closeClient()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	finished := make(chan []load.Result, 1)

	go func() { finished <- client.Run(ctx, streams(d.keys), seed) }()

	began := time.Now()

	for _, s := range d.stages() {
		time.Sleep(time.Until(began.Add(s.after)))
		d.say("%5.1fs  %s", time.Since(began).Seconds(), s.what)

		if err := s.do(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", s.what, err)
		}
	}

	cancel()

	return <-finished, nil
}
