package fleet

import (
	"fmt"
	"net/netip"
)

const (
	// MaxNameBytes is the length of the longest name that ValidName accepts. Every daemon
	// stores the names of all upstreams.
	MaxNameBytes = 128
	// MaxSlots is the largest number of slots of an upstream. With a mistyped large number,
	// its requests would never be queued.
	MaxSlots = 1024
)

// NameForm describes, for errors, the names that ValidName accepts.
const NameForm = "1 to 128 letters, digits, '.', '_' or '-'"

// ValidName reports whether a name that came from outside the daemon may be stored and sent
// to other daemons: 1 to MaxNameBytes ASCII letters, digits, '.', '_' or '-', beginning with
// a letter or digit.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i, c := range []byte(name) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}

	return true
}

// Validate returns an error that names the first field of the upstream that cannot be used,
// and what is expected there. Values in the error are shortened.
func (u Upstream) Validate() error {
	switch {
	case !ValidName(u.Name):
		return fmt.Errorf("name %.64q: want %s", u.Name, NameForm)
	case !ValidName(u.Service):
		return fmt.Errorf("field Service %.64q: want %s", u.Service, NameForm)
	case !ValidEndpoint(u.Address):
		return fmt.Errorf("field Address %q: want an IP address and port, such as 127.0.0.1:8080", u.Address)
	case u.Slots < 1 || u.Slots > MaxSlots:
		return fmt.Errorf("field Slots %d: want 1 to %d", u.Slots, MaxSlots)
	case u.State < Warming || u.State > Draining:
		return fmt.Errorf("field State %d: want Warming, Ready, Shedding or Draining", u.State)
	}

	return nil
}

// ValidEndpoint reports whether an address that came from outside the daemon can be dialled:
// it has a port and is the address of one interface.
func ValidEndpoint(address netip.AddrPort) bool {
	ip := address.Addr()

	return ip.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}
