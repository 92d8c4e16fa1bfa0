// Package membership runs the gossip protocol between daemons: it joins the fleet,
// keeps the replicated set of entries up to date and detects the failure of other
// members.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Call sends one frame to a daemon and returns the answer. It reports false if there is
// none before ctx ends.
type Call func(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)

// Replica is a gossip node with its message exchanges. It has no background goroutines
// and takes the time from Now, so that benchmarks run the same exchanges as daemons. It
// is safe for concurrent use; no lock is held during a call to another daemon.
type Replica struct {
	// Now returns the current time.
	Now func() time.Time
	// Call sends frames to other daemons.
	Call Call
	// Sequential makes the calls of one operation run one after another instead of
	// concurrently, so that simulations are repeatable.
	Sequential bool
	// OnChange is called with the entries that changed, in order, and the node's
	// incarnation, while the replica is locked. It must not block or call the replica.
	OnChange func(changes []fleet.Entry, incarnation uint64)

	mu   sync.Mutex
	node *gossip.Node
}

// NewReplica returns a replica that owns the node. The caller must set Call, and may
// set the other exported fields, before the first use.
func NewReplica(node *gossip.Node) *Replica {
	return &Replica{Now: time.Now, node: node, OnChange: func([]fleet.Entry, uint64) {}}
}

// WithNode calls f with the locked node and the current time. f must not block or call
// the replica.
func (r *Replica) WithNode(f func(node *gossip.Node, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.node, r.Now())
	if changes := r.node.Changes(); len(changes) > 0 {
		r.OnChange(changes, r.node.Incarnation())
	}
}

// each calls f for each name, concurrently unless the replica is sequential.
func (r *Replica) each(names []string, f func(name string)) {
	if r.Sequential {
		for _, name := range names {
			f(name)
		}

		return
	}
	var calls sync.WaitGroup
	for _, name := range names {
		calls.Go(func() { f(name) })
	}
	calls.Wait()
}

// Handle answers a frame of another daemon. It reports false for frames of other
// protocols than membership.
func (r *Replica) Handle(ctx context.Context, _ string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Probe:
		return r.answerProbe(ctx, body.Probe.Target), true
	case *peerpb.Frame_Rumor:
		return deltaFrame(r.receive(body.Rumor.Entries, body.Rumor.Offered)), true
	case *peerpb.Frame_Delta:
		return deltaFrame(r.receive(body.Delta.Entries, nil)), true
	case *peerpb.Frame_Digest:
		answer := &peerpb.BucketDigest{}
		r.WithNode(func(node *gossip.Node, _ time.Time) {
			if len(body.Digest.Buckets) == 0 {
				answer.Differs = node.Root() != body.Digest.Root
			} else {
				answer.Buckets, answer.LeafHashes = node.Differing(body.Digest.Buckets)
			}
		})

		return &peerpb.Frame{Body: &peerpb.Frame_BucketDigest{BucketDigest: answer}}, true
	case *peerpb.Frame_BucketDigest:
		return deltaFrame(r.compare(body.BucketDigest)), true
	default:
		return nil, false
	}
}

// answerProbe answers a direct probe if target is empty. Otherwise it probes the target
// on behalf of the sender.
func (r *Replica) answerProbe(ctx context.Context, target string) *peerpb.Frame {
	result := &peerpb.ProbeResult{Reached: true}
	if target != "" {
		answer, ok := r.Call(ctx, target, probeFrame(""))
		result.Reached = ok && answer.GetProbeResult().GetReached()
		result.Incarnation = answer.GetProbeResult().GetIncarnation()
	} else {
		r.WithNode(func(node *gossip.Node, _ time.Time) { result.Incarnation = node.Incarnation() })
	}

	return &peerpb.Frame{Body: &peerpb.Frame_ProbeResult{ProbeResult: result}}
}

// receive merges the entries of another replica. It returns the entries of which this
// replica has a newer version, and requests the offered versions that are newer than its
// own.
func (r *Replica) receive(entries []*peerpb.Entry, offered []*peerpb.EntryVersion) *peerpb.Delta {
	delta := &peerpb.Delta{}
	r.WithNode(func(node *gossip.Node, now time.Time) {
		delta.Entries = fromEntries(node.Merge(toEntries(entries), now))
		delta.Wanted = fromVersions(node.Wanted(toVersions(offered), now))
	})

	return delta
}

// compare answers the versions of another replica with the entries that the other replica
// lacks or has in an older version, and requests those that are newer than its own.
func (r *Replica) compare(request *peerpb.BucketDigest) *peerpb.Delta {
	delta := &peerpb.Delta{}
	r.WithNode(func(node *gossip.Node, _ time.Time) {
		newer, wanted, more := node.Compare(request.Leaves, toVersions(request.Versions))
		delta.Entries, delta.Wanted, delta.More = fromEntries(newer), fromVersions(wanted), more
	})

	return delta
}

// applyDelta merges the entries of a peer's answer and sends the entries that the
// answer requests.
func (r *Replica) applyDelta(ctx context.Context, call func(*peerpb.Frame) (*peerpb.Frame, bool), delta *peerpb.Delta) {
	if delta == nil || ctx.Err() != nil {
		return
	}
	var entries []fleet.Entry
	r.WithNode(func(node *gossip.Node, now time.Time) {
		node.Merge(toEntries(delta.Entries), now)
		entries = node.Entries(toVersions(delta.Wanted))
	})
	for len(entries) > 0 {
		batch := nextBatch(entries)
		entries = entries[len(batch):]
		answer, ok := call(deltaFrame(&peerpb.Delta{Entries: fromEntries(batch)}))
		if !ok {
			return
		}
		r.WithNode(func(node *gossip.Node, now time.Time) {
			node.Merge(toEntries(answer.GetDelta().GetEntries()), now)
		})
	}
}

// maxBatchBytes bounds the entries in one frame, so that frames are well below the size
// limit of the peer adapter.
const maxBatchBytes = 256 << 10

// entryOverheadBytes is the estimated size of an encoded entry without its key and
// value.
const entryOverheadBytes = 24

// nextBatch returns as many of the first entries as fit into one frame, but at least one if
// there are any.
func nextBatch(entries []fleet.Entry) []fleet.Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.Key) + len(e.Value) + entryOverheadBytes; size > maxBatchBytes && i > 0 {
			return entries[:i]
		}
	}

	return entries
}

// Rumors are the changes that one call of SendRumors sends, and the peers that receive
// them.
type Rumors struct {
	entries []fleet.Entry
	// offers are the versions of changed entries that are too large to be sent before
	// a peer requests them.
	offers []gossip.Version
	peers  []string
}

// CollectRumors returns the changes since the last call and gossip.Fanout peers to send
// them to. If there are no peers it returns no changes and keeps them.
func (r *Replica) CollectRumors() Rumors {
	var rumors Rumors
	r.WithNode(func(node *gossip.Node, _ time.Time) {
		if !node.HasRumors() {
			return
		}
		rumors.peers = node.Peers(gossip.Fanout)
		if len(rumors.peers) > 0 {
			rumors.entries, rumors.offers = node.Rumors()
		}
	})

	return rumors
}

// SendRumors sends rumors. For each peer that does not answer it tries one other peer.
// It returns the number of peers that answered.
func (r *Replica) SendRumors(ctx context.Context, rumors Rumors) int {
	var reached atomic.Int64
	r.each(rumors.peers, func(peer string) {
		if r.sendRumorsTo(ctx, peer, rumors) {
			reached.Add(1)

			return
		}
		var replacement []string
		r.WithNode(func(node *gossip.Node, _ time.Time) { replacement = node.Peers(1, rumors.peers...) })
		if len(replacement) > 0 && r.sendRumorsTo(ctx, replacement[0], rumors) {
			reached.Add(1)
		}
	})

	return int(reached.Load())
}

// sendRumorsTo sends rumors to one peer and applies its answers. It reports false if
// the peer did not answer.
func (r *Replica) sendRumorsTo(ctx context.Context, peer string, rumors Rumors) bool {
	call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) { return r.Call(ctx, peer, frame) }
	entries, offered := rumors.entries, fromVersions(rumors.offers)
	for len(entries)+len(offered) > 0 {
		batch := nextBatch(entries)
		entries = entries[len(batch):]
		answer, ok := call(&peerpb.Frame{Body: &peerpb.Frame_Rumor{
			Rumor: &peerpb.Rumor{Entries: fromEntries(batch), Offered: offered},
		}})
		offered = nil
		if !ok {
			return false
		}
		r.applyDelta(ctx, call, answer.GetDelta())
	}

	return true
}

// Synchronize runs one anti-entropy exchange with the peer that call reaches. The two
// replicas first compare the hash of all entries, and only if it differs the hashes of
// buckets, then of leaves, and at last versions. more reports that the peer has further
// entries; ok reports that the exchange was completed.
func (r *Replica) Synchronize(
	ctx context.Context, call func(*peerpb.Frame) (*peerpb.Frame, bool),
) (more, ok bool) {
	digest := &peerpb.Digest{}
	r.WithNode(func(node *gossip.Node, _ time.Time) { digest.Root = node.Root() })
	answer, ok := call(&peerpb.Frame{Body: &peerpb.Frame_Digest{Digest: digest}})
	if answer.GetBucketDigest().GetDiffers() {
		digest = &peerpb.Digest{}
		r.WithNode(func(node *gossip.Node, _ time.Time) { digest.Buckets = node.Digest() })
		answer, ok = call(&peerpb.Frame{Body: &peerpb.Frame_Digest{Digest: digest}})
	}
	bucketDigest := answer.GetBucketDigest()
	if !ok || bucketDigest == nil {
		return false, false
	}
	request := &peerpb.BucketDigest{}
	r.WithNode(func(node *gossip.Node, _ time.Time) {
		leaves, versions := node.Versions(bucketDigest.Buckets, bucketDigest.LeafHashes)
		request.Leaves, request.Versions = leaves, fromVersions(versions)
	})
	if len(request.Leaves) == 0 {
		return false, true
	}
	answer, ok = call(&peerpb.Frame{Body: &peerpb.Frame_BucketDigest{BucketDigest: request}})
	delta := answer.GetDelta()
	if !ok || delta == nil {
		return false, false
	}
	r.applyDelta(ctx, call, delta)

	return delta.More, true
}

// Probe probes a member directly, for at most directWait. If the member does not answer, it
// asks other members to probe it, for at most indirectWait. It reports whether the member
// was reached. If the member was not reached and ctx has not ended, it publishes a
// suspicion of the member.
func (r *Replica) Probe(ctx context.Context, target string, directWait, indirectWait time.Duration) bool {
	direct, cancel := context.WithTimeout(ctx, directWait)
	answer, ok := r.Call(direct, target, probeFrame(""))
	cancel()
	if ok && answer.GetProbeResult().GetReached() {
		return true
	}
	var probers []string
	r.WithNode(func(node *gossip.Node, _ time.Time) { probers = node.IndirectProbers(target) })
	indirect, cancel := context.WithTimeout(ctx, indirectWait)
	defer cancel()
	var reached atomic.Bool
	r.each(probers, func(prober string) {
		answer, ok := r.Call(indirect, prober, probeFrame(target))
		if ok && answer.GetProbeResult().GetReached() {
			reached.Store(true)
			cancel() // one is enough
		}
	})
	if reached.Load() {
		return true
	}
	if ctx.Err() == nil {
		r.WithNode(func(node *gossip.Node, now time.Time) { node.Suspect(target, now) })
	}

	return false
}
