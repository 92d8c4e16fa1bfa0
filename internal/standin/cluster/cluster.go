// Package cluster starts the stand-in platform, stand-in upstreams and daemons
// as separate processes on loopback, for the demo and for tests of failures.
package cluster

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/proxy"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// firstPort is below Linux's default range for outgoing connections.
	firstPort = 12000
	// maxReservations bounds the loopback addresses that are tried.
	maxReservations = 10
)

// Plan describes the processes to start.
type Plan struct {
	// ProgramDir is the directory with the programs.
	ProgramDir string
	// WorkDir takes settings and logs.
	WorkDir string
	// Zones are the names of the availability zones.
	Zones []string
	// Daemons is their number. They are spread over the zones in turn.
	Daemons int
	// Services has one upstream of each service beside each daemon.
	Services []string
	// SlotsPerUpstream is the number of requests that an upstream runs at once.
	SlotsPerUpstream int
	// ServiceTime is the mean time that an upstream takes per request.
	ServiceTime time.Duration
	// FixedServiceTime makes every request take exactly ServiceTime.
	FixedServiceTime bool
	// DaemonsWithUpstreams is the number of daemons, from the first, that have
	// upstreams beside them. 0 means all.
	DaemonsWithUpstreams int
	// WithProxies puts a proxy between each daemon and those that dial it, and between
	// each daemon and the platform.
	WithProxies bool
}

// Daemon is one daemon and the stand-in upstreams beside it.
type Daemon struct {
	Name            string
	Zone            string
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	LocalAddress    netip.AddrPort
	OperatorAddress netip.AddrPort
	// ControlAddress is where the stand-in upstreams take modes and give records.
	ControlAddress netip.AddrPort
	// PeerProxy carries the connections of other daemons to this one, and PlatformProxy
	// its own to the platform, if the plan is Proxied.
	PeerProxy, PlatformProxy *proxy.Proxy

	// peerListen and platform are the ends of the proxies.
	peerListen, platform netip.AddrPort

	settings  string
	process   *process
	upstreams *process
}

// Cluster is a set of running processes.
type Cluster struct {
	plan            Plan
	PlatformAddress netip.AddrPort
	Daemons         []*Daemon
	platform        *process
	// closeProxies run at the end.
	closeProxies []func()
}

// addressesPerDaemon is how many listening addresses a daemon and what is beside it
// need.
const addressesPerDaemon = 7

// New starts the processes and returns the cluster and the function that ends
// them. The daemons have no configuration yet.
func New(ctx context.Context, plan Plan) (*Cluster, func(), error) {
	c := &Cluster{plan: plan}

	addresses, err := reserve(1 + addressesPerDaemon*plan.Daemons)
	if err != nil {
		return nil, nil, err
	}

	c.PlatformAddress = addresses[0]

	for i := range plan.Daemons {
		a := addresses[1+addressesPerDaemon*i:]
		zone := plan.Zones[i%len(plan.Zones)]
		c.Daemons = append(c.Daemons, &Daemon{
			Name: fmt.Sprintf("%s-%d", zone, i/len(plan.Zones)+1), Zone: zone,
			CallerAddress: a[0], PeerAddress: a[1], LocalAddress: a[2], OperatorAddress: a[3], ControlAddress: a[4],
			peerListen: a[1], platform: c.PlatformAddress,
		})

		if plan.WithProxies {
			if err := c.startProxies(c.Daemons[i], a[5], a[6]); err != nil {
				c.close()

				return nil, nil, err
			}
		}
	}

	if err := c.start(ctx); err != nil {
		c.close()

		return nil, nil, err
	}

	return c, c.close, nil
}

func (c *Cluster) startProxies(d *Daemon, peerListen, platform netip.AddrPort) error {
	d.peerListen, d.platform = peerListen, platform

	for _, one := range []struct {
		to              **proxy.Proxy
		address, target netip.AddrPort
	}{{&d.PeerProxy, d.PeerAddress, peerListen}, {&d.PlatformProxy, platform, c.PlatformAddress}} {
		started, stop, err := proxy.New(one.address, one.target)
		if err != nil {
			return fmt.Errorf("proxy of daemon %s: %w", d.Name, err)
		}

		*one.to = started
		c.closeProxies = append(c.closeProxies, stop)
	}

	return nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error

	c.platform, err = c.run("platform", "standin", "platform", "--address", c.PlatformAddress.String())
	if err != nil {
		return err
	}

	if err := waitFor(ctx, c.PlatformAddress); err != nil {
		return err
	}

	for i, d := range c.Daemons {
		if err := c.StartDaemon(d); err != nil {
			return err
		}

		if c.plan.DaemonsWithUpstreams > 0 && i >= c.plan.DaemonsWithUpstreams {
			continue
		}

		if err := c.startUpstreams(d); err != nil {
			return err
		}
	}

	for _, d := range c.Daemons {
		if err := waitFor(ctx, d.OperatorAddress); err != nil {
			return fmt.Errorf("daemon %s: %w", d.Name, err)
		}

		if d.upstreams == nil {
			continue
		}

		if err := waitFor(ctx, d.ControlAddress); err != nil {
			return fmt.Errorf("upstreams of %s: %w", d.Name, err)
		}
	}

	return nil
}

func (c *Cluster) startUpstreams(d *Daemon) error {
	arguments := []string{
		"upstreams", "--prefix", d.Name, "--daemon", d.LocalAddress.String(), "--control", d.ControlAddress.String(),
		"--slots", strconv.Itoa(c.plan.SlotsPerUpstream), "--servicetime", c.plan.ServiceTime.String(),
		"--services", strings.Join(c.plan.Services, ","),
	}
	if c.plan.FixedServiceTime {
		arguments = append(arguments, "--sigma", "0")
	}

	var err error

	d.upstreams, err = c.run("upstreams-"+d.Name, "standin", arguments...)

	return err
}

// RunClient runs the operators' client and returns its standard output.
func (c *Cluster) RunClient(ctx context.Context, arguments ...string) (string, error) {
	return c.RunClientWithInput(ctx, "", arguments...)
}

// RunClientWithInput is Client with a standard input.
func (c *Cluster) RunClientWithInput(ctx context.Context, input string, arguments ...string) (string, error) {
	// The daemons' operator addresses are given through the environment, as an
	// operator would set them once.
	command := exec.CommandContext(ctx, filepath.Join(c.plan.ProgramDir, "kumquatshelf"), arguments...)
	command.Env = append(os.Environ(),
		"KUMQUATSHELF_PLATFORM="+c.PlatformAddress.String(), "KUMQUATSHELF_DAEMONS="+strings.Join(c.operators(), ","))

	command.Stdin = strings.NewReader(input)

	var errorOutput strings.Builder

	command.Stderr = &errorOutput

	output, err := command.Output()
	if err != nil {
		return string(output), fmt.Errorf("kumquatshelf %s: %w: %s", arguments[0], err, errorOutput.String())
	}

	return string(output), nil
}

func (c *Cluster) operators() []string {
	var list []string
	for _, d := range c.Daemons {
		list = append(list, d.OperatorAddress.String())
	}

	return list
}

// CallerAddresses returns the addresses that callers connect to.
func (c *Cluster) CallerAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, d := range c.Daemons {
		list = append(list, d.CallerAddress)
	}

	return list
}

func (c *Cluster) writeSettings(d *Daemon) error {
	var seeds []string

	for _, other := range c.Daemons {
		if other != d && len(seeds) < 3 {
			seeds = append(seeds, other.PeerAddress.String())
		}
	}

	text := fmt.Sprintf(`[Daemon]
Name = %s
AvailabilityZone = %s
Region = local
CallerAddress = %s
PeerAddress = %s
PeerListenAddress = %s
LocalAddress = %s
OperatorAddress = %s

[Peers]
Seeds = %s

[Platform]
Address = %s

[Limits]
MaxHeaderBytes = 16384
MaxBodyBytes = 1048576
`, d.Name, d.Zone, d.CallerAddress, d.PeerAddress, d.peerListen, d.LocalAddress, d.OperatorAddress, strings.Join(seeds, ", "), d.platform)

	d.settings = filepath.Join(c.plan.WorkDir, d.Name+".ini")

	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}

	return nil
}

// close stops daemons and upstreams side by side, the platform last.
func (c *Cluster) close() {
	var group sync.WaitGroup

	for _, d := range c.Daemons {
		for _, p := range []*process{d.process, d.upstreams} {
			if p != nil {
				group.Go(func() {
					_ = p.signal(syscall.SIGCONT)
					_ = p.stop(stopTimeout)
				})
			}
		}
	}

	group.Wait()

	if c.platform != nil {
		_ = c.platform.signal(syscall.SIGCONT)
		_ = c.platform.kill()
	}

	for _, stop := range c.closeProxies {
		stop()
	}
}

// SendRequest sends a small request to a control address and returns the status.
func SendRequest(ctx context.Context, method, url, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", url, err)
	}

	request.Header.Set("Content-Type", "application/json")

	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", url, err)
	}

	return answer, nil
}
