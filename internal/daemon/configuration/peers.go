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

// memberSampleSize is how many members are decoded in one attempt to choose peers.
const memberSampleSize = 16

// expectedStoreReaders is the expected number of daemons that read the whole
// configuration from the store in one round while the fleet starts. The store serves
// 2,000 reads per second: 16 daemons read the manifest, 64 buckets and 6,700 files in
// 54 s, while all 3,500 daemons would take three hours.
const expectedStoreReaders = 16

// peerSource reads the configuration from another daemon. It implements
// publication.Source.
type peerSource struct {
	peers  PeerCaller
	daemon string
	// head is the encoded head of the manifest that the daemon returned, and version
	// the configuration's version in it; zero if there is none.
	head    []byte
	version uint64
}

// Head returns the head that askPeers received from the daemon. It sends no request.
func (s peerSource) Head(context.Context) ([]byte, bool) { return s.head, true }

// Part fetches the part with the hash from the daemon.
func (s peerSource) Part(ctx context.Context, hash string) ([]byte, bool) {
	part, ok := s.fetchPart(ctx, hash)

	return part.GetValue(), ok && part.GetFound()
}

// fetchPart requests the part with the hash, or the head if hash is empty. It returns
// false if the daemon did not answer within callTimeout.
func (s peerSource) fetchPart(ctx context.Context, hash string) (*peerpb.Part, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.Frame{Body: &peerpb.Frame_FetchPart{FetchPart: &peerpb.FetchPart{Hash: hash}}}
	answer, ok := s.peers.Call(ctx, s.daemon, request)

	return answer.GetPart(), ok
}

// askPeers asks daemons in parallel for the head with the hash, or for any head if hash
// is empty. It returns the daemons that have one, ordered from the newest version, and
// whether any daemon answered.
func (l *Loader) askPeers(ctx context.Context, daemons []string, hash string) (sources []peerSource, answered bool) {
	answers := make([]peerSource, len(daemons))
	var anyAnswered atomic.Bool
	var calls sync.WaitGroup
	for i, daemon := range daemons {
		calls.Go(func() {
			source := peerSource{peers: l.Peers, daemon: daemon}
			part, ok := source.fetchPart(ctx, hash)
			if ok {
				anyAnswered.Store(true)
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

	return answers, anyAnswered.Load()
}

// shouldReadStore reports whether a starting daemon reads the store although its peers
// answer. Relays always do. The choice is random for others, so that on average about
// expectedStoreReaders daemons of a starting fleet read the store in each round and the
// rest can fetch the configuration from them.
func (l *Loader) shouldReadStore(random *rand.Rand) bool {
	members := 0
	l.Entries.Range(fleet.KindMember, func(fleet.Entry) { members++ })

	return l.Membership.IsRelay() || random.IntN(max(members, 1)) < expectedStoreReaders
}

// peerCandidates returns the names of up to peersPerRound random members to ask.
// Members that run at least minVersion come first.
func (l *Loader) peerCandidates(minVersion uint64, random *rand.Rand) []string {
	var entries []fleet.Entry
	l.Entries.Range(fleet.KindMember, func(entry fleet.Entry) {
		if entry.Key != l.Name {
			entries = append(entries, entry)
		}
	})
	random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	var names, lagging []string
	// Only a sample is decoded, because a member's entry lists all its upstreams.
	for _, entry := range entries[:min(len(entries), memberSampleSize)] {
		var member peerpb.Member
		switch {
		case proto.Unmarshal(entry.Value, &member) != nil || member.GetLeaving():
		case member.GetConfigurationVersion() >= max(minVersion, 1):
			names = append(names, entry.Key)
		default:
			lagging = append(lagging, entry.Key)
		}
	}
	names = append(names, lagging...)

	return names[:min(len(names), peersPerRound)]
}

// knownHead returns the newest head among the replicated entries that this daemon has
// received, or an empty head if there is none.
func (l *Loader) knownHead() *peerpb.Head {
	head := &peerpb.Head{}
	l.Entries.Range(fleet.KindHead, func(entry fleet.Entry) {
		var value peerpb.Head
		if entry.Key == headKey && proto.Unmarshal(entry.Value, &value) == nil {
			head = &value
		}
	})

	return head
}

// headEntry returns the replicated entry for the head of a snapshot.
func headEntry(snapshot *publication.Snapshot) fleet.Entry {
	head := &peerpb.Head{Version: snapshot.Version(), ManifestHash: snapshot.HeadHash}

	return fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: snapshot.Version(), Value: marshalValue(head)}
}

// marshalValue encodes the value of a replicated entry.
func marshalValue(message proto.Message) []byte {
	raw, err := proto.Marshal(message)
	if err != nil {
		panic("encode entry value: " + err.Error()) // only invalid UTF-8 fails, and values are ASCII
	}

	return raw
}
