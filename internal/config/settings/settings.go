// Package settings parses and validates the settings file of a daemon.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
)

// Ranges and defaults, in bytes, of the limits on a caller's request. Daemons send a
// request to each other in one frame of at most 1 MiB + 64 KiB, so that a body of
// 1 MiB leaves 64 KiB for the header and the attempt's other fields.
const (
	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 48 << 10
	defaultHeaderBytes = 16 << 10
	minBodyBytes       = 1
	maxBodyBytes       = 1 << 20
)

// Interface selects the protocols that a daemon uses with callers, upstreams and
// operators, and the source of its configuration.
type Interface string

// The interfaces of a daemon.
const (
	// InterfaceOwn selects the fleet's own protocols, configured by team files.
	InterfaceOwn Interface = "Own"
	// InterfacePlatform selects the protocols of the platform on which the fleet runs.
	InterfacePlatform Interface = "Platform"
)

// Bounds are the limits that the platform sets for the fleet. A bound that the
// settings file does not contain is zero.
type Bounds struct {
	// StopGrace is the time that a process has to stop before the platform kills it.
	StopGrace time.Duration
	// ConfigurationDelay is the time within which a change of the configuration must be
	// in force on every daemon.
	ConfigurationDelay time.Duration
	// RetryShare and RetrySlack limit the extra attempts that all daemons together make
	// for a service within 10 s: RetryShare for each request, plus RetrySlack.
	RetryShare float64
	RetrySlack float64
	// RefuseIsolated makes a daemon refuse keys while it is isolated, that is, cannot
	// learn whether they were withdrawn.
	RefuseIsolated bool
}

// Settings are the contents of a daemon's settings file. The field names are also the
// names that ChangedNames returns.
type Settings struct {
	// Name is the daemon's name, which is unique in the fleet.
	Name             string
	AvailabilityZone string
	Region           string
	// Interface is InterfaceOwn if the key is absent.
	Interface Interface
	// Service is the service of the upstream that runs beside the daemon, or empty.
	Service string
	// CallerAddress is the address on which the daemon accepts callers.
	CallerAddress netip.AddrPort
	// PeerAddress is the address that other daemons dial.
	PeerAddress netip.AddrPort
	// PeerListenAddress is the address on which the daemon accepts other daemons if it
	// differs from PeerAddress because of an address translation. If it is not valid,
	// the daemon listens on PeerAddress.
	PeerListenAddress netip.AddrPort
	// LocalAddress is the address on which the daemon accepts the announcements of
	// local upstreams.
	LocalAddress netip.AddrPort
	// OperatorAddress is the address on which the daemon accepts operators.
	OperatorAddress netip.AddrPort
	// ReadyAddress is the address on which the daemon serves its readiness to accept
	// callers. If it is not valid, the daemon does not serve it.
	ReadyAddress netip.AddrPort
	// MetricsAddress is the address on which the daemon serves the metrics that
	// OperatorAddress serves too. If it is not valid, only OperatorAddress does.
	MetricsAddress netip.AddrPort
	// Seeds are the peer addresses of other daemons, by which the daemon joins the
	// fleet. It may be empty.
	Seeds []netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	// Bounds are the limits that the platform sets for the fleet.
	Bounds Bounds
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body of a caller's
	// request.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Parse parses the content of the settings file with the given name, which appears
// in the findings. The settings are valid only if there are no findings.
func Parse(file string, content []byte) (Settings, inifile.Findings) {
	f := inifile.Parse(file, content)
	p := parser{
		settings: Settings{Interface: InterfaceOwn, MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: maxBodyBytes},
		seen:     map[string]bool{},
	}
	for _, section := range f.Sections {
		p.parseSection(section)
	}
	findings := f.Findings
	for _, name := range []string{"Daemon", "Platform"} {
		if !p.seen[name] {
			findings = append(findings, inifile.Finding{
				File: file, Section: name, Problem: "is missing", Expected: "a section [" + name + "]",
			})
		}
	}

	return p.settings, findings
}

// parser builds the settings from the sections of a file.
type parser struct {
	settings Settings
	seen     map[string]bool // names of the sections read so far
}

func (p *parser) parseSection(section *inifile.Section) {
	if section.Name == "" {
		section.ReportUnknownKeys("none before the first section")

		return
	}
	if p.seen[section.Name] {
		section.Report("", "is given twice", "one section of each name")
	}
	p.seen[section.Name] = true
	switch section.Name {
	case "Daemon":
		p.parseDaemon(section)
	case "Peers":
		p.parsePeers(section)
	case "Platform":
		p.settings.Platform = dialableAddress(section, "Address")
		section.ReportUnknownKeys("Address")
	case "Limits":
		p.parseLimits(section)
	case "Bounds":
		p.parseBounds(section)
	default:
		section.Report("", "is not a known section", "[Daemon], [Peers], [Platform], [Limits] or [Bounds]")
	}
}

func (p *parser) parseDaemon(section *inifile.Section) {
	s := &p.settings
	s.Name, _ = section.Identifier("Name")
	s.AvailabilityZone, _ = section.Identifier("AvailabilityZone")
	s.Region, _ = section.Identifier("Region")
	s.CallerAddress, _ = section.Address("CallerAddress")
	s.PeerAddress = dialableAddress(section, "PeerAddress")
	s.LocalAddress, _ = section.Address("LocalAddress")
	s.OperatorAddress = dialableAddress(section, "OperatorAddress")
	p.parseOptionalKeys(section)
	section.ReportUnknownKeys("Name, AvailabilityZone, Region, Interface, Service, CallerAddress, PeerAddress, LocalAddress, " +
		"OperatorAddress, ReadyAddress, MetricsAddress, PeerListenAddress")

	peerKey, peerAddress := "PeerAddress", s.PeerAddress
	if s.PeerListenAddress.IsValid() {
		peerKey, peerAddress = "PeerListenAddress", s.PeerListenAddress
	}

	keys := []string{"CallerAddress", peerKey, "LocalAddress", "OperatorAddress", "ReadyAddress", "MetricsAddress"}
	addresses := []netip.AddrPort{
		s.CallerAddress, peerAddress, s.LocalAddress, s.OperatorAddress, s.ReadyAddress, s.MetricsAddress,
	}
	for i, address := range addresses {
		for j, other := range addresses[:i] {
			if address.IsValid() && addressesConflict(address, other) {
				section.Report(keys[i], fmt.Sprintf("%q is also %s", address, keys[j]), "an address of its own")

				break
			}
		}
	}
}

// parseOptionalKeys reads the keys of the section Daemon that may be absent.
func (p *parser) parseOptionalKeys(section *inifile.Section) {
	const expected = "Own or Platform"
	s := &p.settings
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

// addressesConflict reports whether one process cannot listen on both a and b. If b
// is not valid, it returns false.
func addressesConflict(a, b netip.AddrPort) bool {
	return b.IsValid() && a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

// dialableAddress reads the address of a key and reports it if other processes
// cannot dial it.
func dialableAddress(section *inifile.Section, key string) netip.AddrPort {
	address, ok := section.Address(key)
	if ok && address.Addr().IsUnspecified() {
		section.Report(key, fmt.Sprintf("%q cannot be dialled by others", address), "the address of one interface")

		return netip.AddrPort{}
	}

	return address
}

func (p *parser) parsePeers(section *inifile.Section) {
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
				p.settings.Seeds = append(p.settings.Seeds, address)
			}
		}
	}
	section.ReportUnknownKeys("Seeds")
}

func (p *parser) parseLimits(section *inifile.Section) {
	if section.Has("MaxHeaderBytes") {
		p.settings.MaxHeaderBytes, _ = section.Integer("MaxHeaderBytes", minHeaderBytes, maxHeaderBytes)
	}
	if section.Has("MaxBodyBytes") {
		p.settings.MaxBodyBytes, _ = section.Integer("MaxBodyBytes", minBodyBytes, maxBodyBytes)
	}
	section.ReportUnknownKeys("MaxHeaderBytes, MaxBodyBytes")
}

// Ranges of the values of section Bounds. RetryShare has no lower limit but must be
// above zero, and RetrySlack may be zero.
const (
	minStopGrace = time.Second
	maxStopGrace = time.Hour
	// Below 100 ms, each daemon would call the store more than 16 times a second.
	minConfigurationDelay = 100 * time.Millisecond
	maxConfigurationDelay = time.Hour
	maxRetryShare         = 10
	maxRetrySlack         = 1_000_000
)

func (p *parser) parseBounds(section *inifile.Section) {
	b := &p.settings.Bounds
	if section.Has("StopGrace") {
		b.StopGrace, _ = section.Duration("StopGrace", minStopGrace, maxStopGrace)
	}
	if section.Has("ConfigurationDelay") {
		b.ConfigurationDelay, _ = section.Duration("ConfigurationDelay", minConfigurationDelay, maxConfigurationDelay)
	}
	if section.Has("RetryShare") {
		b.RetryShare, _ = section.PositiveNumber("RetryShare", maxRetryShare)
	}
	if section.Has("RetrySlack") {
		b.RetrySlack, _ = section.Number("RetrySlack", maxRetrySlack)
	}
	b.RefuseIsolated = section.Flag("RefuseIsolated")
	section.ReportUnknownKeys("StopGrace, ConfigurationDelay, RetryShare, RetrySlack, RefuseIsolated")
}
