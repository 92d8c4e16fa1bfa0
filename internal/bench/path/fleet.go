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
	// serviceTime is short, so that the daemons' cost is seen beside it.
	serviceTime = 2 * time.Millisecond
	// slots serve 32,000 requests per second at serviceTime, more than two
	// daemons and their callers reach on one machine.
	slots         = 64
	settleTimeout = 20 * time.Second
	settlePause   = 50 * time.Millisecond
)

const team = `Team = Bench
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

// fleet is two daemons with an upstream beside the first.
type fleet struct {
	cluster  *cluster.Cluster
	key      string
	upstream netip.AddrPort
}

func newFleet(ctx context.Context, bin, dir string) (*fleet, func(), error) {
	running, stop, err := cluster.New(ctx, cluster.Plan{
		ProgramDir: bin, WorkDir: dir, Zones: []string{"bench"}, Daemons: 2, DaemonsWithUpstreams: 1,
		Services: []string{service}, SlotsPerUpstream: slots, ServiceTime: serviceTime, FixedServiceTime: true,
	})
	if err != nil {
		return nil, nil, fmt.Errorf("start the fleet: %w", err)
	}

	f := &fleet{cluster: running}
	if err := f.prepare(ctx, dir); err != nil {
		stop()

		return nil, nil, err
	}

	return f, stop, nil
}

func (f *fleet) prepare(ctx context.Context, dir string) error {
	file := filepath.Join(dir, "bench.team.ini")
	if err := os.WriteFile(file, []byte(team), 0o600); err != nil {
		return fmt.Errorf("write the team file: %w", err)
	}

	if _, err := f.cluster.RunClient(ctx, "--operator", "bench", "publish", file); err != nil {
		return fmt.Errorf("publish: %w", err)
	}

	key, err := f.cluster.RunClient(ctx, "--operator", "bench", "key", "give", clientAccount)
	if err != nil {
		return fmt.Errorf("give a key: %w", err)
	}

	f.key = strings.TrimSpace(key)

	addresses, err := f.cluster.Daemons[0].UpstreamAddresses(ctx)
	if err != nil {
		return fmt.Errorf("find the upstream: %w", err)
	}

	f.upstream = addresses[service]

	for _, address := range f.cluster.CallerAddresses() {
		if err := f.settle(address); err != nil {
			return err
		}
	}

	return nil
}

// settle waits until a daemon serves the route.
func (f *fleet) settle(address netip.AddrPort) error {
	c := newCaller(address, f.key)
	defer c.close()

	for deadline := time.Now().Add(settleTimeout); ; time.Sleep(settlePause) {
		err := c.do()
		if err == nil {
			return nil
		}

		if time.Now().After(deadline) {
			return fmt.Errorf("daemon %s does not serve: %w", address, err)
		}
	}
}

// usage is what one daemon has used.
type usage struct {
	processor   time.Duration
	mallocs     uint64
	bytes       uint64
	collections uint32
	system      uint64
}

// minus returns the use since an earlier reading.
func (u usage) minus(before usage) usage {
	u.processor -= before.processor
	u.mallocs -= before.mallocs
	u.bytes -= before.bytes
	u.collections -= before.collections

	return u
}

// plus adds a later use, whose memory from the system replaces the earlier one.
func (u usage) plus(later usage) usage {
	later.processor += u.processor
	later.mallocs += u.mallocs
	later.bytes += u.bytes
	later.collections += u.collections

	return later
}

// usages returns what each daemon has used since its start.
func (f *fleet) usages(ctx context.Context) ([]usage, error) {
	var list []usage

	for _, d := range f.cluster.Daemons {
		one, err := usageOf(ctx, d)
		if err != nil {
			return nil, err
		}

		list = append(list, one)
	}

	return list, nil
}

func usageOf(ctx context.Context, d *cluster.Daemon) (usage, error) {
	answer, err := cluster.SendRequest(ctx, "GET", "http://"+d.OperatorAddress.String()+"/Metrics", "")
	if err != nil {
		return usage{}, fmt.Errorf("read the metrics of %s: %w", d.Name, err)
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
		return usage{}, fmt.Errorf("decode the metrics of %s: %w", d.Name, err)
	}

	return usage{
		processor: time.Duration(variables.Kumquatshelf.Process.ProcessorSeconds * float64(time.Second)),
		mallocs:   variables.Memory.Mallocs, bytes: variables.Memory.TotalAlloc,
		collections: variables.Memory.NumGC, system: variables.Memory.Sys,
	}, nil
}
