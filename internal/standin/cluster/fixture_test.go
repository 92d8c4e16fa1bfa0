package cluster_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

const (
	host = "estanques.example"
	// callTimeout is longer than the longest freeze plus a service's deadline.
	callTimeout = 15 * time.Second
	// configurationBound is R11's bound.
	configurationBound = 17 * time.Second
	// maxFleets bounds how many fleets run at once, for the machine's sake.
	maxFleets = 3
	// services is the number of services, each with an upstream per daemon.
	services = 5
)

// testingTeam adds client accounts whose rate the traffic of a test stays
// below, and a service whose deadline leaves time for slow readers, to the
// example configuration.
const testingTeam = `Team = Testing
[Service Archive]
Floor = 50%
Deadline = 30s
DetectionThreshold = 8
[Route ArchiveRead]
Service = Archive
Host = estanques.example
PathPrefix = /archive
Methods = GET
Idempotent = true
Open = false
[ClientAccount Harbour]
Rate = 400/s
Burst = 800
[ClientAccount Sluice]
Rate = 400/s
Burst = 800
[ClientAccount Jetty]
Rate = 20/s
Burst = 200
`

var (
	bin    string
	fleets = make(chan struct{}, maxFleets)
)

func TestMain(m *testing.M) {
	os.Exit(cluster.RunWithPrograms(func(dir string) int {
		bin = dir

		return m.Run()
	}))
}

// fleet is a running cluster with a configuration and a key per client account.
type fleet struct {
	*cluster.Cluster
	t    *testing.T
	dir  string
	keys map[string]string
}

// start runs a fleet until the test ends. All keys work at all daemons.
func start(t *testing.T, daemons int, accounts ...string) *fleet {
	t.Helper()
	t.Parallel()

	fleets <- struct{}{}

	dir := t.TempDir()

	running, stop, err := cluster.New(t.Context(), cluster.Plan{
		ProgramDir: bin, WorkDir: dir, Zones: []string{"a", "b", "c"}, Daemons: daemons,
		Services: []string{"Calendar", "Booking", "Notice", "Launch", "Archive"}, SlotsPerUpstream: 3, ServiceTime: 10 * time.Millisecond,
	})
	if err != nil {
		<-fleets
		t.Fatalf("start the fleet: %v", err)
	}

	t.Cleanup(func() {
		stop()
		<-fleets
	})

	f := &fleet{Cluster: running, t: t, dir: dir, keys: make(map[string]string)}

	teams, err := filepath.Glob("../../../examples/lima/teams/*.ini")
	if err != nil || len(teams) == 0 {
		t.Fatalf("no example team files: %v", err)
	}

	f.client("", append([]string{"publish", f.file("testing.ini", testingTeam)}, teams...)...)

	for _, account := range accounts {
		f.keys[account] = strings.TrimSpace(f.client("", "key", "give", account))
	}

	f.settle()

	return f
}

func (f *fleet) file(name, text string) string {
	f.t.Helper()

	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}

	return path
}

// client runs the operators' client, which must succeed.
func (f *fleet) client(input string, arguments ...string) string {
	f.t.Helper()

	output, err := f.RunClientWithInput(f.t.Context(), input, append([]string{"--operator", "test"}, arguments...)...)
	if err != nil {
		f.t.Fatal(err)
	}

	return output
}

// stream describes calls of a client account with its key.
func (f *fleet) stream(account, method, path string, rate float64) load.Stream {
	return load.Stream{
		Name: strings.Trim(path, "/") + method, ClientAccount: account, Key: f.keys[account], Method: method,
		Host: host, Path: path, Rate: rate, Idempotent: method == "GET", DaemonIndex: -1,
	}
}

// status returns a daemon's view of the fleet, if it answers.
func (f *fleet) status(daemon *cluster.Daemon) (operator.Status, bool) {
	client, closeClient := operator.NewClient("test")
	defer closeClient()

	status, outcome := client.Status(f.t.Context(), daemon.OperatorAddress)

	return status, outcome == operator.Confirmed
}

// settle waits until every daemon knows all upstreams and serves all keys.
func (f *fleet) settle() {
	f.t.Helper()

	for _, daemon := range f.Daemons {
		f.within(configurationBound, daemon.Name+" knows all upstreams", func() bool {
			status, _ := f.status(daemon)
			known := 0

			for _, service := range status.Services {
				known += len(service.Upstreams)
			}

			return known == services*len(f.Daemons)
		})
	}

	client, closeClient := load.NewClient(f.CallerAddresses(), "settle", callTimeout)
	defer closeClient()

	for account := range f.keys {
		for _, daemon := range f.CallerAddresses() {
			f.within(configurationBound, "serves "+account, func() bool {
				return client.SendTo(f.t.Context(), f.stream(account, "GET", "/bookings", 1), "settle", daemon).Verdict == load.Ran
			})
		}
	}
}

// within waits until a condition holds and fails the test after the bound.
func (f *fleet) within(bound time.Duration, what string, condition func() bool) {
	f.t.Helper()

	for deadline := time.Now().Add(bound); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", bound, what)
		}
	}
}

// traffic sends the streams until the returned function is called, which
// returns the results.
func (f *fleet) traffic(seed uint64, streams ...load.Stream) func() []load.Result {
	client, closeClient := load.NewClient(f.CallerAddresses(), "run", callTimeout)
	ctx, cancel := context.WithCancel(f.t.Context())
	results := make(chan []load.Result, 1)

	go func() { results <- client.Run(ctx, streams, seed) }()

	return func() []load.Result {
		defer closeClient()
		cancel()

		return <-results
	}
}

// runs returns how often each request ran. No upstream may have seen a key.
func (f *fleet) runs() map[string]int {
	f.t.Helper()

	var keys []string
	for _, key := range f.keys {
		keys = append(keys, key)
	}

	ran, leaks, err := f.CollectRuns(f.t.Context(), keys)
	if err != nil {
		f.t.Fatal(err)
	}

	if leaks > 0 {
		f.t.Errorf("upstreams saw a key in %d values", leaks)
	}

	return ran
}

func (f *fleet) must(err error) {
	f.t.Helper()

	if err != nil {
		f.t.Error(err)
	}
}
