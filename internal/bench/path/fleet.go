package path

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
)

const (
	host          = "path.example"
	service       = "Path"
	clientAccount = "Bench"
	// serviceTime is the time of a request at the upstream. It is short, so that the cost of
	// the daemons is not negligible beside it.
	serviceTime = 2 * time.Millisecond
	// slots is the number of requests that the upstream runs at the same time. At
	// serviceTime they serve 32,000 requests per second, more than two daemons and their
	// callers reach on one machine.
	slots             = 64
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

const teamFile = `Team = Bench
[Service Path]
Floor = 1
Deadline = 5s
DetectionThreshold = 1000
[Route Path]
Service = Path
Host = path.example
PathPrefix = /path
Methods = GET
Idempotent = true
Open = false
[ClientAccount Bench]
Rate = 1000000/s
Burst = 1000000
`

// fleet is two daemons as separate processes, with an upstream beside the first.
type fleet struct {
	cluster  *cluster.Cluster
	key      string
	upstream netip.AddrPort
}

// newFleet starts a fleet with the programs in bin and files in dir. It returns the function
// that stops the fleet.
func newFleet(ctx context.Context, bin, dir string) (*fleet, func(), error) {
	runningCluster, stop, err := cluster.New(ctx, cluster.Plan{
		ProgramDir: bin, WorkDir: dir, Zones: []string{"bench"}, Daemons: 2, DaemonsWithUpstreams: 1,
		Services: []string{service}, SlotsPerUpstream: slots, ServiceTime: serviceTime, FixedServiceTime: true,
	})
	if err != nil {
		return nil, nil, fmt.Errorf("start fleet: %w", err)
	}

	f := &fleet{cluster: runningCluster}
	if err := f.prepare(ctx, dir); err != nil {
		stop()

		return nil, nil, err
	}

	return f, stop, nil
}

// prepare publishes the team file, issues a key and waits until both daemons serve.
func (f *fleet) prepare(ctx context.Context, dir string) error {
	file := filepath.Join(dir, "bench.team.ini")
	if err := os.WriteFile(file, []byte(teamFile), 0o600); err != nil {
		return fmt.Errorf("write team file: %w", err)
	}

	if _, err := f.cluster.RunClient(ctx, "--operator", "bench", "publish", file); err != nil {
		return fmt.Errorf("publish team file: %w", err)
	}

	key, err := f.cluster.RunClient(ctx, "--operator", "bench", "key", "give", clientAccount)
	if err != nil {
		return fmt.Errorf("issue key: %w", err)
	}

	f.key = strings.TrimSpace(key)

	addresses, err := f.cluster.Daemons[0].UpstreamAddresses(ctx)
	if err != nil {
		return fmt.Errorf("find upstream address: %w", err)
	}

	f.upstream = addresses[service]

	for _, address := range f.cluster.CallerAddresses() {
		if err := f.waitUntilServing(address); err != nil {
			return err
		}
	}

	return nil
}

// waitUntilServing waits until a daemon answers a request with status 200, at most
// readyTimeout.
func (f *fleet) waitUntilServing(address netip.AddrPort) error {
	c := newCaller(address, f.key)
	defer c.close()

	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(readyPollInterval) {
		err := c.do()
		if err == nil {
			return nil
		}

		if time.Now().After(deadline) {
			return fmt.Errorf("wait for daemon %s to serve: %w", address, err)
		}
	}
}

// usage is the resource usage of one daemon: the processor time, the number and the bytes
// of heap allocations, the number of garbage collections, and the memory obtained from the
// operating system.
type usage struct {
	processorTime  time.Duration
	mallocs        uint64
	allocatedBytes uint64
	collections    uint32
	systemBytes    uint64
}

// sub returns the usage since an earlier reading. systemBytes is not subtracted.
func (u usage) sub(before usage) usage {
	u.processorTime -= before.processorTime
	u.mallocs -= before.mallocs
	u.allocatedBytes -= before.allocatedBytes
	u.collections -= before.collections

	return u
}

// add returns the sum of u and a later usage. systemBytes is taken from the later one.
func (u usage) add(later usage) usage {
	later.processorTime += u.processorTime
	later.mallocs += u.mallocs
	later.allocatedBytes += u.allocatedBytes
	later.collections += u.collections

	return later
}

// daemonUsages returns the usage of each daemon since its start.
func (f *fleet) daemonUsages(ctx context.Context) ([]usage, error) {
	var usages []usage

	for _, d := range f.cluster.Daemons {
		reading, err := readUsage(ctx, d)
		if err != nil {
			return nil, err
		}

		usages = append(usages, reading)
	}

	return usages, nil
}

// readUsage reads the usage of a daemon from its metrics.
func readUsage(ctx context.Context, d *cluster.Daemon) (usage, error) {
	answer, err := cluster.SendRequest(ctx, "GET", "http://"+d.OperatorAddress.String()+"/Metrics", "")
	if err != nil {
		return usage{}, fmt.Errorf("read metrics of %s: %w", d.Name, err)
	}

	defer func() { _ = answer.Body.Close() }()

	var variables struct {
		Memory struct {
			Mallocs, TotalAlloc, Sys uint64
			NumGC                    uint32
		} `json:"memstats"`
		Kumquatshelf struct {
			Process struct{ ProcessorSeconds float64 }
		}
	}
	if err := json.NewDecoder(answer.Body).Decode(&variables); err != nil {
		return usage{}, fmt.Errorf("decode metrics of %s: %w", d.Name, err)
	}

	return usage{
		processorTime: time.Duration(variables.Kumquatshelf.Process.ProcessorSeconds * float64(time.Second)),
		mallocs:       variables.Memory.Mallocs, allocatedBytes: variables.Memory.TotalAlloc,
		collections: variables.Memory.NumGC, systemBytes: variables.Memory.Sys,
	}, nil
}
