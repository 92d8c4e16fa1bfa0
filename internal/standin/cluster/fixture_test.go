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
	// callTimeout is longer than the longest freeze of a daemon plus a service's deadline.
	callTimeout = 15 * time.Second
	// configurationBound is the bound of R11 for a publication to take effect.
	configurationBound = 17 * time.Second
	// maxFleets bounds the number of fleets that run at once, because of the machine's load.
	maxFleets = 3
	// services is the number of services. Each has one upstream per daemon.
	services = 5
)

// testTeam adds to the example configuration client accounts whose rates are above the
// traffic of the tests, and a service whose deadline leaves time for slow readers.
const testTeam = `Team = Testing
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
	programDir string
	// fleetSlots holds one element per running fleet.
	fleetSlots = make(chan struct{}, maxFleets)
)

func TestMain(m *testing.M) {
	os.Exit(cluster.RunWithPrograms(func(dir string) int {
		programDir = dir

		return m.Run()
	}))
}

// fleet is a running cluster with a configuration and the API keys of client accounts.
type fleet struct {
	*cluster.Cluster
	t   *testing.T
	dir string
	// keys holds the API keys by client account.
	keys map[string]string
}

// startFleet starts a fleet that runs until the test ends, and waits until every daemon
// serves all keys.
func startFleet(t *testing.T, daemons int, accounts ...string) *fleet {
	t.Helper()
	t.Parallel()

	fleetSlots <- struct{}{}

	dir := t.TempDir()

	running, stop, err := cluster.New(t.Context(), cluster.Plan{
		ProgramDir: programDir, WorkDir: dir, Zones: []string{"a", "b", "c"}, Daemons: daemons,
		Services: []string{"Calendar", "Booking", "Notice", "Launch", "Archive"}, SlotsPerUpstream: 3, ServiceTime: 10 * time.Millisecond,
	})
	if err != nil {
		<-fleetSlots
		t.Fatalf("start the fleet: %v", err)
	}

	t.Cleanup(func() {
		stop()
		<-fleetSlots
	})

	f := &fleet{Cluster: running, t: t, dir: dir, keys: make(map[string]string)}

	teams, err := filepath.Glob("../../../examples/lima/teams/*.ini")
	if err != nil || len(teams) == 0 {
		t.Fatalf("no example team files: %v", err)
	}

	f.runClient("", append([]string{"publish", f.writeFile("testing.ini", testTeam)}, teams...)...)

	for _, account := range accounts {
		f.keys[account] = strings.TrimSpace(f.runClient("", "key", "give", account))
	}

	f.waitUntilServing()

	return f
}

func (f *fleet) writeFile(name, text string) string {
	f.t.Helper()

	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}

	return path
}

// runClient runs the operators' client with the given standard input. It must succeed.
func (f *fleet) runClient(input string, arguments ...string) string {
	f.t.Helper()

	output, err := f.RunClientWithInput(f.t.Context(), input, append([]string{"--operator", "test"}, arguments...)...)
	if err != nil {
		f.t.Fatal(err)
	}

	return output
}

// newStream returns a stream of requests of a client account, with its key, which are
// spread over all daemons.
func (f *fleet) newStream(account, method, path string, rate float64) load.Stream {
	return load.Stream{
		Name: strings.Trim(path, "/") + method, ClientAccount: account, Key: f.keys[account], Method: method,
		Host: host, Path: path, Rate: rate, Idempotent: method == "GET", DaemonIndex: -1,
	}
}

// status returns the status that a daemon reports, and false if it does not answer.
func (f *fleet) status(daemon *cluster.Daemon) (operator.Status, bool) {
	client, closeClient := operator.NewClient("test")
	defer closeClient()

	status, outcome := client.Status(f.t.Context(), daemon.OperatorAddress)

	return status, outcome == operator.Confirmed
}

// waitUntilServing waits until every daemon knows all upstreams and serves all keys.
func (f *fleet) waitUntilServing() {
	f.t.Helper()

	for _, daemon := range f.Daemons {
		f.waitUntil(configurationBound, daemon.Name+" knows all upstreams", func() bool {
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
			f.waitUntil(configurationBound, "serves "+account, func() bool {
				return client.SendTo(f.t.Context(), f.newStream(account, "GET", "/bookings", 1), "settle", daemon).Verdict == load.Ran
			})
		}
	}
}

// waitUntil waits until a condition holds. It ends the test if the condition does not hold
// within the bound.
func (f *fleet) waitUntil(bound time.Duration, what string, condition func() bool) {
	f.t.Helper()

	for deadline := time.Now().Add(bound); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", bound, what)
		}
	}
}

// startTraffic sends the streams' requests until the returned function is called, which
// returns their results.
func (f *fleet) startTraffic(seed uint64, streams ...load.Stream) func() []load.Result {
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

// runCounts returns the number of times that each request ID ran. It fails the test if an
// upstream received a key.
func (f *fleet) runCounts() map[string]int {
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

// noError fails the test if the error is not nil, and lets it continue.
func (f *fleet) noError(err error) {
	f.t.Helper()

	if err != nil {
		f.t.Error(err)
	}
}
