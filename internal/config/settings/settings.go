// Package settings reads the settings of one daemon.
package settings

import (
	"fmt"
	"net/netip"

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

// Settings are the values that a daemon starts with.
type Settings struct {
	// Name is unique in the fleet.
	Name             string
	AvailabilityZone string
	Region           string
	// CallerAddress accepts callers.
	CallerAddress netip.AddrPort
	// PeerAddress accepts other daemons, which dial it as it stands here.
	PeerAddress netip.AddrPort
	// LocalAddress accepts announcements of local upstreams.
	LocalAddress netip.AddrPort
	// OperatorAddress accepts operators.
	OperatorAddress netip.AddrPort
	// Seeds are the peer addresses of other daemons; it may be empty.
	Seeds []netip.AddrPort
	// Platform is the address of the object API.
	Platform netip.AddrPort
	// MaxHeaderBytes and MaxBodyBytes bound a caller's request.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Parse reads a settings file. Settings may be used only if there are no
// findings.
func Parse(file string, content []byte) (Settings, inifile.Findings) {
	f := inifile.Read(file, content)
	r := reader{
		settings: Settings{MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: maxBodyBytes},
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
		section.Close("none before the first section")

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
		section.Close("Address")
	case "Limits":
		r.limits(section)
	default:
		section.Report("", "is not a known section", "[Daemon], [Peers], [Platform] or [Limits]")
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
	section.Close("Name, AvailabilityZone, Region, CallerAddress, PeerAddress, LocalAddress, OperatorAddress")

	keys := []string{"CallerAddress", "PeerAddress", "LocalAddress", "OperatorAddress"}
	addresses := []netip.AddrPort{s.CallerAddress, s.PeerAddress, s.LocalAddress, s.OperatorAddress}
	for i, address := range addresses {
		for j, other := range addresses[:i] {
			if address.IsValid() && collide(address, other) {
				section.Report(keys[i], fmt.Sprintf("%q is also %s", address, keys[j]), "an address of its own")

				break
			}
		}
	}
}

// collide reports whether one process cannot listen at both addresses.
func collide(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
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
	section.Close("Seeds")
}

func (r *reader) limits(section *inifile.Section) {
	if section.Has("MaxHeaderBytes") {
		r.settings.MaxHeaderBytes, _ = section.Integer("MaxHeaderBytes", minHeaderBytes, maxHeaderBytes)
	}
	if section.Has("MaxBodyBytes") {
		r.settings.MaxBodyBytes, _ = section.Integer("MaxBodyBytes", minBodyBytes, maxBodyBytes)
	}
	section.Close("MaxHeaderBytes, MaxBodyBytes")
}
