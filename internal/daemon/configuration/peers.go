package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// peerSource is another daemon as a source of the configuration.
type peerSource struct {
	peers  Peers
	daemon string
	// head is the hash of the manifest's head to ask for; empty asks for any.
	head string
}

func (s peerSource) Head(ctx context.Context) ([]byte, bool) {
	raw, ok := s.Part(ctx, s.head)
	if ok && s.head != "" && publication.Hash(raw) != s.head {
		return nil, false
	}

	return raw, ok
}

func (s peerSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.Frame{Body: &peerpb.Frame_FetchPart{FetchPart: &peerpb.FetchPart{Hash: hash}}}
	answer, ok := s.peers.Call(ctx, s.daemon, request)
	part := answer.GetPart()

	return part.GetValue(), ok && part.GetFound()
}

// candidates returns a few members to ask, with those that run at least the
// wanted version first.
func (l *Loader) candidates(want uint64, random *rand.Rand) []string {
	var members []*peerpb.Member
	l.Entries.Range(fleet.KindMember, func(entry fleet.Entry) {
		var member peerpb.Member
		if proto.Unmarshal(entry.Value, &member) == nil && entry.Key != l.Name && !member.GetLeaving() {
			member.Name = entry.Key
			members = append(members, &member)
		}
	})
	slices.SortFunc(members, func(a, b *peerpb.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var names, others []string
	for _, member := range members {
		if member.GetConfigurationVersion() >= max(want, 1) {
			names = append(names, member.GetName())
		} else {
			others = append(others, member.GetName())
		}
	}
	names = append(names, others...)

	return names[:min(len(names), peersPerRound)]
}

// head returns the newest head that the fleet knows.
func (l *Loader) head() *peerpb.Head {
	head := &peerpb.Head{}
	l.Entries.Range(fleet.KindHead, func(entry fleet.Entry) {
		var value peerpb.Head
		if entry.Key == headKey && proto.Unmarshal(entry.Value, &value) == nil && value.GetVersion() == entry.Version {
			head = &value
		}
	})

	return head
}

func headEntry(snapshot *publication.Snapshot) fleet.Entry {
	head := &peerpb.Head{Version: snapshot.Version(), ManifestHash: snapshot.HeadHash}

	return fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: snapshot.Version(), Value: marshal(head)}
}

func marshal(message proto.Message) []byte {
	raw, err := proto.Marshal(message)
	if err != nil {
		panic("encoding an entry: " + err.Error()) // only invalid UTF-8 fails, and values are ASCII
	}

	return raw
}
