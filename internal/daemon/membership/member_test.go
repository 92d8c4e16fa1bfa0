package membership

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// memberWith returns the value of a member entry with an ordinary upstream and another one.
func memberWith(other *peerpb.Upstream) []byte {
	value, err := proto.Marshal(&peerpb.Member{Name: "a", Upstreams: []*peerpb.Upstream{
		{Name: "u1", Service: "s", Slots: 3, State: uint32(fleet.Ready)}, other,
	}})
	if err != nil {
		panic(err)
	}

	return value
}

// oddUpstreams are upstreams in the entry of another daemon that cannot be used.
var oddUpstreams = map[string]*peerpb.Upstream{
	"no name":           {Service: "s", Slots: 3},
	"no service":        {Name: "u2", Slots: 3},
	"NUL":               {Name: "u\x00", Service: "s", Slots: 3},
	"name of kilobytes": {Name: strings.Repeat("u", 20<<10), Service: "s", Slots: 3},
	"slots":             {Name: "u2", Service: "s", Slots: 1 << 31},
	"state":             {Name: "u2", Service: "s", Slots: 3, State: 260},
}

// Guards against one odd upstream in another daemon's entry that takes the place of others, or
// is taken for one that exists.
func TestOddUpstreamInMemberEntry(t *testing.T) {
	t.Parallel()
	for name, odd := range oddUpstreams {
		member, ok := DecodeMember(fleet.Entry{Kind: fleet.KindMember, Key: "a", Value: memberWith(odd)})
		if !ok || len(member.Upstreams) != 1 || member.Upstreams[0].Name != "u1" || member.UnusableUpstreams != 1 {
			t.Errorf("%s: got %+v, %v, want u1 alone and one unusable", name, member, ok)
		}
	}
}

// Guards against a panic on an arbitrary member entry, and against upstreams with names or
// numbers out of range.
func FuzzDecodeMember(f *testing.F) {
	for _, odd := range oddUpstreams {
		f.Add(memberWith(odd))
	}
	whole := memberWith(&peerpb.Upstream{Name: "u2", Service: "s"})
	f.Add(whole[:len(whole)/2])
	f.Add([]byte("\x0a\x02\xff\xfe"))
	var nested []byte
	for range 10_000 {
		nested = protowire.AppendTag(nested, 99, protowire.StartGroupType)
	}
	f.Add(nested)
	f.Add([]byte("\x3a\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, value []byte) {
		_ = DecodeMemberInfo(value)
		member, _ := DecodeMember(fleet.Entry{Kind: fleet.KindMember, Key: "a", Value: value})
		for _, u := range member.Upstreams {
			if !fleet.ValidName(u.Name) || !fleet.ValidName(u.Service) || u.Slots < 0 || u.Slots > fleet.MaxSlots {
				t.Errorf("got upstream %+v, want none with such a name or number", u)
			}
		}
	})
}
