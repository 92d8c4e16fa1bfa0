package fleet

import (
	"net/netip"
	"strings"
	"testing"
)

// Guards against values from outside that are stored although they cannot be encoded, dialled
// or bounded.
func TestUpstreamWithUnusableField(t *testing.T) {
	t.Parallel()
	valid := Upstream{
		Name: "i-7f3a91c2", Service: "Calendar_2.b", Address: netip.MustParseAddrPort("10.0.0.9:8080"), Slots: 3, State: Ready,
	}
	if err := valid.Validate(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	for name, change := range map[string]func(*Upstream){
		"no name":             func(u *Upstream) { u.Name = "" },
		"not UTF-8":           func(u *Upstream) { u.Name = "\xff\xfe" },
		"NUL":                 func(u *Upstream) { u.Name = "i\x00" },
		"slash":               func(u *Upstream) { u.Name = "a/b" },
		"begins with a dot":   func(u *Upstream) { u.Name = ".." },
		"many kilobytes":      func(u *Upstream) { u.Name = strings.Repeat("i", 20<<10) },
		"service not UTF-8":   func(u *Upstream) { u.Service = "s\xff" },
		"service with spaces": func(u *Upstream) { u.Service = "a b" },
		"no address":          func(u *Upstream) { u.Address = netip.AddrPort{} },
		"port 0":              func(u *Upstream) { u.Address = netip.MustParseAddrPort("10.0.0.9:0") },
		"unspecified":         func(u *Upstream) { u.Address = netip.MustParseAddrPort("[::]:80") },
		"multicast":           func(u *Upstream) { u.Address = netip.MustParseAddrPort("224.0.0.1:80") },
		"zone":                func(u *Upstream) { u.Address = netip.MustParseAddrPort("[fe80::1%eth0]:80") },
		"no slots":            func(u *Upstream) { u.Slots = 0 },
		"negative slots":      func(u *Upstream) { u.Slots = -1 },
		"too many slots":      func(u *Upstream) { u.Slots = MaxSlots + 1 },
		"unknown state":       func(u *Upstream) { u.State = Draining + 1 },
	} {
		u := valid
		change(&u)
		err := u.Validate()
		if err == nil || len(err.Error()) > 500 {
			t.Errorf("%s: got error %v, want a short one", name, err)
		}
	}
}
