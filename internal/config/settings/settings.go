// Package settings reads the settings of one daemon.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
)

// Limits on what a caller may send. A request travels between daemons in one
// frame of at most 1 MiB + 64 KiB, so that a body of 1 MiB leaves 64 KiB for
// the header and the attempt's other fields.
const (
	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 48 << 10
	defaultHeaderBytes = 16 << 10
	minBodyBytes       = 1
	maxBodyBytes       = 1 << 20
)

// Interface is how a daemon speaks with callers, upstreams and operators.
type Interface string

// Interfaces of a daemon.
const (
	// InterfaceOwn is the fleet's own interface, with team files.
	InterfaceOwn Interface = "Own"
	// InterfacePlatform is that of the platform on which the fleet runs.
	InterfacePlatform Interface = "Platform"
)

// Bounds are figures that the platform holds the fleet to. Those that it does not
// name are zero.
type Bounds struct {
	// StopGrace is how long a process may take to stop before it is killed.
	StopGrace time.Duration
	// RetryShare is the number of extra attempts per request of a service, and
	// RetrySlack a number of them beyond that, over all daemons within 10 s.
	RetryShare float64
	RetrySlack int
	// RefuseIsolated makes a daemon refuse keys while it cannot learn whether they
	// were withdrawn.
	RefuseIsolated bool
}

// Settings are the values that a daemon starts with.
type Settings struct {
	// Name is unique in the fleet.
	Name             string
	AvailabilityZone string
	Region           string
	// Interface is InterfaceOwn unless the settings say otherwise.
	Interface Interface
	// Service is that of the upstream beside the daemon, or empty.
	Service string
	// CallerAddress accepts callers.
	CallerAddress netip.AddrPort
	// PeerAddress accepts other daemons, which dial it as it stands here.
	PeerAddress netip.AddrPort
	// PeerListenAddress is where the daemon listens for others if PeerAddress leads
	// there by way of an address translation. If it is not valid, it is PeerAddress.
	PeerListenAddress netip.AddrPort
	// LocalAddress accepts announcements of local upstreams.
	LocalAddress netip.AddrPort
	// OperatorAddress accepts operators.
	OperatorAddress netip.AddrPort
	// ReadyAddress answers whether callers should come, if it is valid.
	ReadyAddress netip.AddrPort
	// MetricsAddress serves the metrics, as OperatorAddress does, if it is valid.
	MetricsAddress netip.AddrPort
	// Seeds are the peer addresses of other daemons; it may be empty.
	Seeds []netip.AddrPort
	// Platform is the address of the object API.
	Platform netip.AddrPort
	// Bounds are figures that the platform holds the fleet to.
	Bounds Bounds
	// MaxHeaderBytes and MaxBodyBytes bound a caller's request.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Parse reads a settings file. Settings may be used only if there are no
// findings.
func Parse(file string, content []byte) (Settings, inifile.Findings) {
	f := inifile.Parse(file, content)
	r := reader{
		settings: Settings{Interface: InterfaceOwn, MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: maxBodyBytes},
		seen:     map[string]bool{},
	}
	for _, section := range f.Sections {
		r.section(section)
	}
	findings := f.Findings
	for _, name := range []string{"Daemon", "Platform"} {
		if !r.seen[name] {
			findings = append(findings, inifile.Finding{
				File: file, Section: name, Problem: "is missing", Expected: "a section [" + name + "]",
			})
		}
	}

	return r.settings, findings
}

type reader struct {
	settings Settings
	seen     map[string]bool
}

func (r *reader) section(section *inifile.Section) {
	if section.Name == "" {
		section.ReportUnknownKeys("none before the first section")

		return
	}
	if r.seen[section.Name] {
		section.Report("", "is given twice", "one section of each name")
	}
	r.seen[section.Name] = true
	switch section.Name {
	case "Daemon":
		r.daemon(section)
	case "Peers":
		r.peers(section)
	case "Platform":
		r.settings.Platform = dialable(section, "Address")
		section.ReportUnknownKeys("Address")
	case "Limits":
		r.limits(section)
	case "Bounds":
		r.bounds(section)
	default:
		section.Report("", "is not a known section", "[Daemon], [Peers], [Platform], [Limits] or [Bounds]")
	}
}

func (r *reader) daemon(section *inifile.Section) {
	s := &r.settings
	s.Name, _ = section.Identifier("Name")
	s.AvailabilityZone, _ = section.Identifier("AvailabilityZone")
	s.Region, _ = section.Identifier("Region")
	s.CallerAddress, _ = section.Address("CallerAddress")
	s.PeerAddress = dialable(section, "PeerAddress")
	s.LocalAddress, _ = section.Address("LocalAddress")
	s.OperatorAddress = dialable(section, "OperatorAddress")
	r.optional(section)
	section.ReportUnknownKeys("Name, AvailabilityZone, Region, Interface, Service, CallerAddress, PeerAddress, LocalAddress, " +
		"OperatorAddress, ReadyAddress, MetricsAddress, PeerListenAddress")

	peers, peerAddress := "PeerAddress", s.PeerAddress
	if s.PeerListenAddress.IsValid() {
		peers, peerAddress = "PeerListenAddress", s.PeerListenAddress
	}

	keys := []string{"CallerAddress", peers, "LocalAddress", "OperatorAddress", "ReadyAddress", "MetricsAddress"}
	addresses := []netip.AddrPort{
		s.CallerAddress, peerAddress, s.LocalAddress, s.OperatorAddress, s.ReadyAddress, s.MetricsAddress,
	}
	for i, address := range addresses {
		for j, other := range addresses[:i] {
			if address.IsValid() && collide(address, other) {
				section.Report(keys[i], fmt.Sprintf("%q is also %s", address, keys[j]), "an address of its own")

				break
			}
		}
	}
}

func (r *reader) optional(section *inifile.Section) {
	const expected = "Own or Platform"
	s := &r.settings
	if section.Has("Interface") {
		text, ok := section.Text("Interface", expected)
		s.Interface = Interface(text)
		if ok && s.Interface != InterfaceOwn && s.Interface != InterfacePlatform {
			section.Report("Interface", fmt.Sprintf("%q is not accepted", text), expected)
		}
	}
	if section.Has("Service") {
		s.Service, _ = section.Identifier("Service")
	}
	if section.Has("PeerListenAddress") {
		s.PeerListenAddress, _ = section.Address("PeerListenAddress")
	}
	if section.Has("ReadyAddress") {
		s.ReadyAddress, _ = section.Address("ReadyAddress")
	}
	if section.Has("MetricsAddress") {
		s.MetricsAddress, _ = section.Address("MetricsAddress")
	}
}

// collide reports whether one process cannot listen at both addresses.
func collide(a, b netip.AddrPort) bool {
	return b.IsValid() && a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

// dialable takes an address that other processes dial.
func dialable(section *inifile.Section, key string) netip.AddrPort {
	address, ok := section.Address(key)
	if ok && address.Addr().IsUnspecified() {
		section.Report(key, fmt.Sprintf("%q cannot be dialled by others", address), "the address of one interface")

		return netip.AddrPort{}
	}

	return address
}

func (r *reader) peers(section *inifile.Section) {
	const expected = "a list of peer addresses, such as 10.0.0.1:7001, 10.0.1.1:7001"
	if section.Has("Seeds") {
		items, _ := section.List("Seeds", expected)
		seen := map[netip.AddrPort]bool{}
		for _, item := range items {
			address, err := netip.ParseAddrPort(item)
			switch {
			case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
				section.Report("Seeds", fmt.Sprintf("%q is not accepted", item), expected)
			case seen[address]:
				section.Report("Seeds", fmt.Sprintf("%q is listed twice", item), "each address once")
			default:
				seen[address] = true
				r.settings.Seeds = append(r.settings.Seeds, address)
			}
		}
	}
	section.ReportUnknownKeys("Seeds")
}

func (r *reader) limits(section *inifile.Section) {
	if section.Has("MaxHeaderBytes") {
		r.settings.MaxHeaderBytes, _ = section.Integer("MaxHeaderBytes", minHeaderBytes, maxHeaderBytes)
	}
	if section.Has("MaxBodyBytes") {
		r.settings.MaxBodyBytes, _ = section.Integer("MaxBodyBytes", minBodyBytes, maxBodyBytes)
	}
	section.ReportUnknownKeys("MaxHeaderBytes, MaxBodyBytes")
}

// Ranges of the bounds.
const (
	minStopGrace  = time.Second
	maxStopGrace  = time.Hour
	maxRetryShare = 10
	maxRetrySlack = 1_000_000
)

func (r *reader) bounds(section *inifile.Section) {
	b := &r.settings.Bounds
	if section.Has("StopGrace") {
		b.StopGrace, _ = section.Duration("StopGrace", minStopGrace, maxStopGrace)
	}
	if section.Has("RetryShare") {
		b.RetryShare, _ = section.PositiveNumber("RetryShare", maxRetryShare)
	}
	if section.Has("RetrySlack") {
		b.RetrySlack, _ = section.Integer("RetrySlack", 0, maxRetrySlack)
	}
	b.RefuseIsolated = section.Flag("RefuseIsolated")
	section.ReportUnknownKeys("StopGrace, RetryShare, RetrySlack, RefuseIsolated")
}
