package configuration

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// sampledMembers is how many members are considered in one attempt.
const sampledMembers = 16

// storeReaders is as many as read the manifest, 64 buckets and 6,700 files in
// 54 s at the store's 2,000 reads per second, while each of 3,500 daemons would
// take the store three hours.
const storeReaders = 16

// peerSource is another daemon as a source of the configuration.
type peerSource struct {
	peers  PeerCaller
	daemon string
	// head and version are those that the daemon answered with.
	head    []byte
	version uint64
}

func (s peerSource) Head(context.Context) ([]byte, bool) { return s.head, true }

func (s peerSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	part, ok := s.fetch(ctx, hash)

	return part.GetValue(), ok && part.GetFound()
}

// fetch returns false if the daemon did not answer.
func (s peerSource) fetch(ctx context.Context, hash string) (*peerpb.Part, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.Frame{Body: &peerpb.Frame_FetchPart{FetchPart: &peerpb.FetchPart{Hash: hash}}}
	answer, ok := s.peers.Call(ctx, s.daemon, request)

	return answer.GetPart(), ok
}

// ask asks daemons for the head with a hash, or for any head if hash is empty.
// It returns those that have one, the newest first, and whether any daemon
// answered.
func (l *Loader) ask(ctx context.Context, daemons []string, hash string) (sources []peerSource, answered bool) {
	answers := make([]peerSource, len(daemons))
	var heard atomic.Bool
	var calls sync.WaitGroup
	for i, daemon := range daemons {
		calls.Go(func() {
			source := peerSource{peers: l.Peers, daemon: daemon}
			part, ok := source.fetch(ctx, hash)
			if ok {
				heard.Store(true)
			}
			if ok && part.GetFound() {
				source.head = part.GetValue()
				source.version, _ = publication.HeadVersion(source.head)
			}
			answers[i] = source
		})
	}
	calls.Wait()
	answers = slices.DeleteFunc(answers, func(s peerSource) bool { return s.version == 0 })
	slices.SortStableFunc(answers, func(a, b peerSource) int { return cmp.Compare(b.version, a.version) })

	return answers, heard.Load()
}

// mayRead reports whether it is this daemon's turn to read the store although
// its peers answer. Of a fleet that waits for a configuration, storeReaders
// daemons on average read it in each round, and the others ask them.
func (l *Loader) mayRead(random *rand.Rand) bool {
	members := 0
	l.Entries.Range(fleet.KindMember, func(fleet.Entry) { members++ })

	return l.Membership.IsRelay() || random.IntN(max(members, 1)) < storeReaders
}

// candidates returns a few members to ask, with those that run at least the
// wanted version first.
func (l *Loader) candidates(want uint64, random *rand.Rand) []string {
	var entries []fleet.Entry
	l.Entries.Range(fleet.KindMember, func(entry fleet.Entry) {
		if entry.Key != l.Name {
			entries = append(entries, entry)
		}
	})
	random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	var names, others []string
	// Members are decoded for a sample only, since each lists its upstreams.
	for _, entry := range entries[:min(len(entries), sampledMembers)] {
		var member peerpb.Member
		switch {
		case proto.Unmarshal(entry.Value, &member) != nil || member.GetLeaving():
		case member.GetConfigurationVersion() >= max(want, 1):
			names = append(names, entry.Key)
		default:
			others = append(others, entry.Key)
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
		if entry.Key == headKey && proto.Unmarshal(entry.Value, &value) == nil {
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
