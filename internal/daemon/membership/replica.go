// Package membership runs gossip between daemons: it joins the fleet, keeps the
// replicated set of entries up to date and watches the other members.
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

// Call sends one frame to a daemon and returns the answer.
type Call func(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)

// Replica is a gossip node with its message exchanges. It has no goroutines and
// no clock, so that benchmarks drive the exchanges that daemons run. It is safe
// for concurrent use; no lock is held during a call.
type Replica struct {
	// Now is the clock.
	Now func() time.Time
	// Call reaches other daemons.
	Call Call
	// Sequential makes the calls of one operation one after another, which
	// makes simulations repeatable.
	Sequential bool
	// OnChange is called with the entries that changed, in order, while the
	// replica is locked. It must not block or call the replica.
	OnChange func(changes []fleet.Entry, incarnation uint64)

	mu   sync.Mutex
	node *gossip.Node
}

// NewReplica returns a replica that owns the node. The exported fields are set
// before its first use.
func NewReplica(node *gossip.Node) *Replica {
	return &Replica{Now: time.Now, node: node, OnChange: func([]fleet.Entry, uint64) {}}
}

// WithNode calls f with the node and the time. f must not block.
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
	var wait sync.WaitGroup
	for _, name := range names {
		wait.Go(func() { f(name) })
	}
	wait.Wait()
}

// Handle answers a frame of another daemon. It reports false for frames that do
// not belong to membership.
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

// receive merges entries and returns what the sender lacks and what it offered
// that this replica wants.
func (r *Replica) receive(entries []*peerpb.Entry, offered []*peerpb.EntryVersion) *peerpb.Delta {
	delta := &peerpb.Delta{}
	r.WithNode(func(node *gossip.Node, now time.Time) {
		delta.Entries = fromEntries(node.Merge(toEntries(entries), now))
		delta.Wanted = fromVersions(node.Wanted(toVersions(offered), now))
	})

	return delta
}

func (r *Replica) compare(request *peerpb.BucketDigest) *peerpb.Delta {
	delta := &peerpb.Delta{}
	r.WithNode(func(node *gossip.Node, _ time.Time) {
		newer, wanted, more := node.Compare(request.Leaves, toVersions(request.Versions))
		delta.Entries, delta.Wanted, delta.More = fromEntries(newer), fromVersions(wanted), more
	})

	return delta
}

// settle merges the entries of an answer and sends what the peer wants.
func (r *Replica) settle(ctx context.Context, call func(*peerpb.Frame) (*peerpb.Frame, bool), delta *peerpb.Delta) {
	if delta == nil || ctx.Err() != nil {
		return
	}
	var entries []fleet.Entry
	r.WithNode(func(node *gossip.Node, now time.Time) {
		node.Merge(toEntries(delta.Entries), now)
		entries = node.Entries(toVersions(delta.Wanted))
	})
	for len(entries) > 0 {
		batch := batchOf(entries)
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

// maxBatchBytes keeps frames well below the limit of the peer adapter.
const maxBatchBytes = 256 << 10

func batchOf(entries []fleet.Entry) []fleet.Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.Key) + len(e.Value) + 24; size > maxBatchBytes && i > 0 {
			return entries[:i]
		}
	}

	return entries
}

// Rumors are the changes that one call of Spread sends.
type Rumors struct {
	entries []fleet.Entry
	offers  []gossip.Version
	peers   []string
}

// CollectRumors returns what changed since the last call and the peers to send it to.
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

// SendRumors sends rumors. A peer that does not answer is replaced once by another.
// It returns the number of peers that answered.
func (r *Replica) SendRumors(ctx context.Context, rumors Rumors) int {
	var reached atomic.Int64
	r.each(rumors.peers, func(peer string) {
		if r.tell(ctx, peer, rumors) {
			reached.Add(1)

			return
		}
		var other []string
		r.WithNode(func(node *gossip.Node, _ time.Time) { other = node.Peers(1, rumors.peers...) })
		if len(other) > 0 && r.tell(ctx, other[0], rumors) {
			reached.Add(1)
		}
	})

	return int(reached.Load())
}

func (r *Replica) tell(ctx context.Context, peer string, rumors Rumors) bool {
	call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) { return r.Call(ctx, peer, frame) }
	entries, offered := rumors.entries, fromVersions(rumors.offers)
	for len(entries)+len(offered) > 0 {
		batch := batchOf(entries)
		entries = entries[len(batch):]
		answer, ok := call(&peerpb.Frame{Body: &peerpb.Frame_Rumor{
			Rumor: &peerpb.Rumor{Entries: fromEntries(batch), Offered: offered},
		}})
		offered = nil
		if !ok {
			return false
		}
		r.settle(ctx, call, answer.GetDelta())
	}

	return true
}

// Synchronize runs one anti-entropy exchange. more says that the peer has
// further entries; ok says that the exchange was completed.
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
	differing := answer.GetBucketDigest()
	if !ok || differing == nil {
		return false, false
	}
	request := &peerpb.BucketDigest{}
	r.WithNode(func(node *gossip.Node, _ time.Time) {
		leaves, versions := node.Versions(differing.Buckets, differing.LeafHashes)
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
	r.settle(ctx, call, delta)

	return delta.More, true
}

// Probe probes a member directly and, if that fails, through others. It reports
// whether the member was reached and suspects it if not.
func (r *Replica) Probe(ctx context.Context, target string, directly, indirectly time.Duration) bool {
	direct, cancel := context.WithTimeout(ctx, directly)
	answer, ok := r.Call(direct, target, probeFrame(""))
	cancel()
	if ok && answer.GetProbeResult().GetReached() {
		return true
	}
	var helpers []string
	r.WithNode(func(node *gossip.Node, _ time.Time) { helpers = node.IndirectProbers(target) })
	indirect, cancel := context.WithTimeout(ctx, indirectly)
	defer cancel()
	var reached atomic.Bool
	r.each(helpers, func(helper string) {
		answer, ok := r.Call(indirect, helper, probeFrame(target))
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
