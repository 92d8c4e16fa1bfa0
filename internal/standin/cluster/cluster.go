// Package cluster starts the stand-in platform, stand-in upstreams and daemons
// as separate processes on loopback, for the demo and for tests of failures.
package cluster

import (
	"context"
	"errors"
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
	// maxReservations bounds the number of loopback addresses that are tried for a fleet.
	maxReservations = 10
)

// Plan describes the processes to start.
type Plan struct {
	// ProgramDir is the directory of the built programs.
	ProgramDir string
	// WorkDir is the directory for settings files and logs.
	WorkDir string
	// Zones are the names of the availability zones.
	Zones []string
	// Daemons is the number of daemons. They are assigned to the zones in turn.
	Daemons int
	// Services are the names of the services. Each daemon has one upstream per service.
	Services []string
	// SlotsPerUpstream is the number of requests that an upstream runs at once.
	SlotsPerUpstream int
	// ServiceTime is the median time that an upstream takes per request.
	ServiceTime time.Duration
	// FixedServiceTime makes every request take exactly ServiceTime.
	FixedServiceTime bool
	// DaemonsWithUpstreams is the number of daemons, from the first, that have upstreams;
	// 0 means all.
	DaemonsWithUpstreams int
	// WithProxies puts a proxy in front of each daemon's peer address, and one between
	// each daemon and the platform.
	WithProxies bool
}

// Daemon is one daemon and the stand-in upstreams that are announced to it.
type Daemon struct {
	Name            string
	Zone            string
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	LocalAddress    netip.AddrPort
	OperatorAddress netip.AddrPort
	// ControlAddress serves the list of the stand-in upstreams' own addresses.
	ControlAddress netip.AddrPort
	// PeerProxy carries the connections of other daemons to this one, and PlatformProxy
	// this daemon's connections to the platform. Both are nil unless Plan.WithProxies.
	PeerProxy, PlatformProxy *proxy.Proxy

	// peerListenAddress is the address that the daemon listens on, and platformAddress
	// the address that it dials. They differ from PeerAddress and Cluster.PlatformAddress
	// if proxies are in between.
	peerListenAddress, platformAddress netip.AddrPort

	settingsPath string
	process      *process
	upstreams    *process
}

// Cluster is a running stand-in platform with daemons and their stand-in upstreams.
type Cluster struct {
	plan            Plan
	PlatformAddress netip.AddrPort
	Daemons         []*Daemon
	platform        *process
	// closeProxies close the proxies, after all processes have ended.
	closeProxies []func()
}

// addressesPerDaemon is the number of listening addresses of a daemon, its upstreams and
// its proxies.
const addressesPerDaemon = 7

// New starts the processes and waits until they listen. It returns the cluster and the
// function that ends the processes. The daemons have no configuration yet.
func New(ctx context.Context, plan Plan) (*Cluster, func(), error) {
	c := &Cluster{plan: plan}

	addresses, err := ReserveAddresses(1 + addressesPerDaemon*plan.Daemons)
	if err != nil {
		return nil, nil, err
	}

	c.PlatformAddress = addresses[0]

	for i := range plan.Daemons {
		daemonAddresses := addresses[1+addressesPerDaemon*i:]
		zone := plan.Zones[i%len(plan.Zones)]
		c.Daemons = append(c.Daemons, &Daemon{
			Name: fmt.Sprintf("%s-%d", zone, i/len(plan.Zones)+1), Zone: zone,
			CallerAddress: daemonAddresses[0], PeerAddress: daemonAddresses[1], LocalAddress: daemonAddresses[2], OperatorAddress: daemonAddresses[3], ControlAddress: daemonAddresses[4],
			peerListenAddress: daemonAddresses[1], platformAddress: c.PlatformAddress,
		})

		if plan.WithProxies {
			if err := c.startProxies(c.Daemons[i], daemonAddresses[5], daemonAddresses[6]); err != nil {
				c.stopAll()

				return nil, nil, err
			}
		}
	}

	if err := c.start(ctx); err != nil {
		c.stopAll()

		return nil, nil, err
	}

	return c, c.stopAll, nil
}

// startProxies starts the proxies of a daemon. PeerProxy listens on the peer address that
// other daemons dial and forwards to peerListenAddress, where the daemon listens. PlatformProxy
// listens on the given platform address and forwards to the platform.
func (c *Cluster) startProxies(d *Daemon, peerListenAddress, platformAddress netip.AddrPort) error {
	d.peerListenAddress, d.platformAddress = peerListenAddress, platformAddress

	for _, p := range []struct {
		field           **proxy.Proxy
		address, target netip.AddrPort
	}{{&d.PeerProxy, d.PeerAddress, peerListenAddress}, {&d.PlatformProxy, platformAddress, c.PlatformAddress}} {
		started, stop, err := startProxy(p.address, p.target)
		if err != nil {
			return fmt.Errorf("proxy of daemon %s: %w", d.Name, err)
		}

		*p.field = started
		c.closeProxies = append(c.closeProxies, stop)
	}

	return nil
}

// startProxy starts a proxy at a reserved address. It waits for at most startTimeout while
// the address is in use: a process that another fleet has just forked holds a copy of the
// listener that reserved it, until it executes its program.
func startProxy(address, target netip.AddrPort) (*proxy.Proxy, func(), error) {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		started, stop, err := proxy.New(address, target)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return started, stop, err
		}
	}
}

func (c *Cluster) start(ctx context.Context) error {
	var err error

	c.platform, err = c.startProcess("platform", "standin", "platform", "--address", c.PlatformAddress.String())
	if err != nil {
		return err
	}

	if err := waitForListener(ctx, c.PlatformAddress); err != nil {
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
		if err := waitForListener(ctx, d.OperatorAddress); err != nil {
			return fmt.Errorf("daemon %s: %w", d.Name, err)
		}

		if d.upstreams == nil {
			continue
		}

		if err := waitForListener(ctx, d.ControlAddress); err != nil {
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

	d.upstreams, err = c.startProcess("upstreams-"+d.Name, "standin", arguments...)

	return err
}

// RunClient runs the operators' client with the given arguments and returns its standard
// output. An exit code other than 0 is an error that wraps *exec.ExitError.
func (c *Cluster) RunClient(ctx context.Context, arguments ...string) (string, error) {
	return c.RunClientWithInput(ctx, "", arguments...)
}

// RunClientWithInput is RunClient with the given text as standard input.
func (c *Cluster) RunClientWithInput(ctx context.Context, input string, arguments ...string) (string, error) {
	// Operators set the addresses of the platform and the daemons once in the
	// environment, not on each command line.
	command := exec.CommandContext(ctx, filepath.Join(c.plan.ProgramDir, "kumquatshelf"), arguments...)
	command.Env = append(os.Environ(),
		"KUMQUATSHELF_PLATFORM="+c.PlatformAddress.String(), "KUMQUATSHELF_DAEMONS="+strings.Join(c.operatorAddresses(), ","))

	command.Stdin = strings.NewReader(input)

	var errorOutput strings.Builder

	command.Stderr = &errorOutput

	output, err := command.Output()
	if err != nil {
		return string(output), fmt.Errorf("kumquatshelf %s: %w: %s", arguments[0], err, errorOutput.String())
	}

	return string(output), nil
}

func (c *Cluster) operatorAddresses() []string {
	var list []string
	for _, d := range c.Daemons {
		list = append(list, d.OperatorAddress.String())
	}

	return list
}

// CallerAddresses returns the addresses that callers connect to, in the order of Daemons.
func (c *Cluster) CallerAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, d := range c.Daemons {
		list = append(list, d.CallerAddress)
	}

	return list
}

// writeSettings writes the settings file of a daemon, with the peer addresses of up to
// three other daemons as seeds.
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
`, d.Name, d.Zone, d.CallerAddress, d.PeerAddress, d.peerListenAddress, d.LocalAddress, d.OperatorAddress, strings.Join(seeds, ", "), d.platformAddress)

	d.settingsPath = filepath.Join(c.plan.WorkDir, d.Name+".ini")

	if err := os.WriteFile(d.settingsPath, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}

	return nil
}

// stopAll stops daemons and upstreams concurrently, then the platform and the proxies.
func (c *Cluster) stopAll() {
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

// SendRequest sends an HTTP request with a JSON body to a stand-in's or daemon's address
// and returns the answer, whose body the caller must close.
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
