// Package membership measures gossip at fleet sizes that are too large to run as
// processes on one machine. It runs the exchanges of internal/daemon/membership
// over simulated links, one after another and with a fixed seed.
package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// Step is the simulated time between two rounds of rumors.
	Step = 50 * time.Millisecond
	// StepsPerPeriod is the number of rounds of rumors for each round of probes
	// and anti-entropy.
	StepsPerPeriod = 20
	// streamOverheadBytes is the size of the six headers of 12 bytes that yamux adds to
	// each exchange.
	streamOverheadBytes = 6 * 12
)

// Faults describes the faults of the links between members.
type Faults struct {
	// Loss is the share of frames that are lost in each direction, 0 to 1.
	Loss float64
	// Delayed is the share of rumors, 0 to 1, that arrive up to 20 steps later and so out
	// of order. Their sender receives no answer.
	Delayed float64
	// Cut, if not nil, reports whether all frames from one member to another are lost.
	// Members are numbered from 0.
	Cut func(from, to int) bool
}

// Fleet is a simulated fleet. It is not safe for concurrent use.
type Fleet struct {
	Faults Faults
	// EncodeFrames encodes and decodes every frame, as between processes, so that its cost
	// is measured and members share no memory.
	EncodeFrames bool
	// Messages counts the frames in both directions, lost ones included, and Bytes their
	// sizes with the overhead of their streams.
	Messages, Bytes int64

	zones   int
	now     time.Time
	step    int
	random  *rand.Rand
	members []*member
	// replicaIndex maps the names of all members to the members that receive their frames.
	replicaIndex       map[string]int
	delayed            []delayedFrame
	upstreamsPerMember int
}

type member struct {
	name        string
	incarnation uint64
	replica     *membership.Replica
	paused      bool
}

// delayedFrame is a rumor that is delivered in the step due.
type delayedFrame struct {
	due, from, to int
	frame         *peerpb.Frame
}

// NewFleet returns a fleet in which all members know one another.
func NewFleet(size, zones, upstreamsPerMember int, seed uint64) *Fleet {
	return NewSample(size, size, zones, upstreamsPerMember, seed)
}

// NewSample returns a fleet in which only the first replicas of size members have a
// replica. Frames for another member are delivered to a replica of the same availability
// zone, so that each replica has the cost of a member of the whole fleet. The number of
// replicas must be a multiple of the number of zones.
func NewSample(size, replicas, zones, upstreamsPerMember int, seed uint64) *Fleet {
	f := &Fleet{
		zones:              zones,
		now:                time.Unix(1_800_000_000, 0),
		random:             rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // not for secrets
		replicaIndex:       map[string]int{},
		upstreamsPerMember: upstreamsPerMember,
	}
	entries := make([]fleet.Entry, size)
	for i := range size {
		entries[i] = f.memberEntry(i, 1, 1)
		f.replicaIndex[entries[i].Key] = i % replicas
	}
	for i := range replicas {
		f.members = append(f.members, &member{name: entries[i].Key, incarnation: 1})
		f.startReplica(i)
	}
	for i := range replicas {
		f.WithNode(i, func(node *gossip.Node) {
			node.Merge(entries, f.now)
			node.Rumors()
		})
	}

	return f
}

// Size returns the number of members with a replica.
func (f *Fleet) Size() int { return len(f.members) }

// Name returns a member's name.
func (f *Fleet) Name(i int) string { return f.members[i].name }

// Zone returns the number of a member's availability zone.
func (f *Fleet) Zone(i int) int { return i % f.zones }

// WithNode calls fn with a member's node, which fn must not keep.
func (f *Fleet) WithNode(i int, fn func(node *gossip.Node)) {
	f.members[i].replica.WithNode(func(node *gossip.Node, _ time.Time) { fn(node) })
}

// Now returns the simulated time.
func (f *Fleet) Now() time.Time { return f.now }

// Publish publishes an entry at a member.
func (f *Fleet) Publish(i int, e fleet.Entry) {
	f.WithNode(i, func(node *gossip.Node) { node.Publish(e, f.now) })
}

// Pause stops a member, which keeps its state, until Resume or Restart.
func (f *Fleet) Pause(i int) { f.members[i].paused = true }

// Resume ends the pause of a member.
func (f *Fleet) Resume(i int) { f.members[i].paused = false }

// IsPaused reports whether a member is paused.
func (f *Fleet) IsPaused(i int) bool { return f.members[i].paused }

// Restart replaces a member by one without state, whose incarnation is higher by the
// given step. A step of 0 models a clock that did not advance between the two starts. While
// it knows no other member it joins through member 0, or through member 1 if it is 0.
func (f *Fleet) Restart(i int, step uint64) {
	f.members[i].incarnation += step
	f.members[i].paused = false
	f.startReplica(i)
	f.joinIfIsolated(i)
}

// joinIfIsolated synchronizes a member that knows no other member with member 0, or with
// member 1 if it is member 0.
func (f *Fleet) joinIfIsolated(i int) {
	seed := 0
	if i == 0 {
		seed = 1
	}
	var peers []string
	f.WithNode(i, func(node *gossip.Node) { peers = node.Peers(1) })
	if len(peers) == 0 {
		f.members[i].replica.Synchronize(context.Background(),
			func(frame *peerpb.Frame) (*peerpb.Frame, bool) { return f.deliver(i, seed, frame) })
	}
}

func (f *Fleet) memberEntry(i int, incarnation, version uint64) fleet.Entry {
	name := fmt.Sprintf("daemon-%04d", i)

	return fleet.Entry{
		Kind: fleet.KindMember, Key: name, Incarnation: incarnation, Version: version,
		Value: MemberValue(name, fmt.Sprintf("zone-%02d", f.Zone(i)), f.upstreamsPerMember),
	}
}

// startReplica gives a member a new replica that knows only the member itself.
func (f *Fleet) startReplica(i int) {
	m := f.members[i]
	value := f.memberEntry(i, 1, 1).Value
	node := gossip.NewNode(gossip.Settings{
		Name: m.name, AvailabilityZone: fmt.Sprintf("zone-%02d", f.Zone(i)),
		Incarnation: m.incarnation, DecodeInfo: membership.DecodeMemberInfo,
	}, value, rand.New(rand.NewPCG(f.random.Uint64(), uint64(i))), f.now) //nolint:gosec // not for secrets
	m.replica = membership.NewReplica(node)
	m.replica.Sequential = true
	m.replica.Now = func() time.Time { return f.now }
	m.replica.Call = func(_ context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
		to, ok := f.replicaIndex[daemon]
		if !ok {
			return nil, false
		}

		return f.deliver(i, to, frame)
	}
}

// MemberValue returns the value of a member entry with the given number of upstreams, as
// daemons encode it.
func MemberValue(name, zone string, upstreams int) []byte {
	m := &peerpb.Member{
		Name: name, PeerAddress: "10.120.33.44:7401", OperatorAddress: "10.120.33.44:7403",
		AvailabilityZone: zone, Region: "region-1", ConfigurationVersion: 123456,
	}
	for u := range upstreams {
		m.Upstreams = append(m.Upstreams, &peerpb.Upstream{
			Name: fmt.Sprintf("%s-%02d", name, u), Service: fmt.Sprintf("service-%04d", u*151%6700),
			Slots: 3, State: uint32(fleet.Ready), StateSinceUnixNanoseconds: 1_800_000_000_000_000_000,
		})
	}
	value, _ := proto.Marshal(m)

	return value
}

// lost reports whether a frame from one member to another is lost.
func (f *Fleet) lost(from, to int) bool {
	return f.members[to].paused || f.members[from].paused ||
		f.Faults.Cut != nil && f.Faults.Cut(from, to) || f.random.Float64() < f.Faults.Loss
}

func (f *Fleet) countFrame(frame *peerpb.Frame) {
	f.Messages++
	f.Bytes += int64(proto.Size(frame)) + 2 + streamOverheadBytes/2
}

// deliver delivers a frame and returns the answer. It returns false if either was lost, the
// frame was delayed, or the receiver did not answer.
func (f *Fleet) deliver(from, to int, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	f.countFrame(frame)
	if f.lost(from, to) {
		return nil, false
	}
	if frame.GetRumor() != nil && f.random.Float64() < f.Faults.Delayed {
		f.delayed = append(f.delayed, delayedFrame{f.step + 1 + f.random.IntN(StepsPerPeriod), from, to, frame})

		return nil, false
	}
	answer, ok := f.members[to].replica.Handle(context.Background(), f.members[from].name, f.reencode(frame))
	f.countFrame(answer)
	if !ok || f.lost(to, from) {
		return nil, false
	}

	return f.reencode(answer), true
}

// reencode returns a copy of a frame that was encoded and decoded, or the frame itself
// without EncodeFrames.
func (f *Fleet) reencode(frame *peerpb.Frame) *peerpb.Frame {
	if !f.EncodeFrames {
		return frame
	}
	data, err := proto.Marshal(frame)
	if err != nil {
		panic("membership: encode frame: " + err.Error())
	}
	copied := &peerpb.Frame{}
	if err := proto.Unmarshal(data, copied); err != nil {
		panic("membership: decode frame: " + err.Error())
	}

	return copied
}

// Step advances the simulated time by Step and runs one round of rumors. Every
// StepsPerPeriod steps each member also runs a round of probes and anti-entropy.
func (f *Fleet) Step() {
	f.step++
	f.now = f.now.Add(Step)
	f.deliverDelayed()
	rumors := make([]membership.Rumors, len(f.members))
	for i, m := range f.members {
		if !m.paused {
			rumors[i] = m.replica.CollectRumors()
		}
	}
	ctx := context.Background()
	for i, m := range f.members {
		m.replica.SendRumors(ctx, rumors[i])
		if m.paused || f.step%StepsPerPeriod != i%StepsPerPeriod {
			continue
		}
		f.joinIfIsolated(i)
		var targets []string
		var peer string
		var known bool
		f.WithNode(i, func(node *gossip.Node) {
			node.Tick(f.now)
			targets = node.ProbeTargets()
			peer, known = node.SyncPeer()
		})
		for _, target := range targets {
			m.replica.Probe(ctx, target, time.Second, time.Second)
		}
		if known {
			m.replica.Synchronize(ctx, func(frame *peerpb.Frame) (*peerpb.Frame, bool) {
				return m.replica.Call(ctx, peer, frame)
			})
		}
	}
}

func (f *Fleet) deliverDelayed() {
	remaining := f.delayed[:0]
	for _, l := range f.delayed {
		if l.due > f.step {
			remaining = append(remaining, l)
		} else if !f.lost(l.from, l.to) {
			f.members[l.to].replica.Handle(context.Background(), f.members[l.from].name, l.frame)
		}
	}
	f.delayed = remaining
}

// Converged reports whether all members that are not paused have the same entries, judged
// by their digests.
func (f *Fleet) Converged() bool {
	var want []uint64
	for i, m := range f.members {
		if m.paused {
			continue
		}
		same := true
		f.WithNode(i, func(node *gossip.Node) {
			digest := node.Digest()
			for b := range want {
				same = same && digest[b] == want[b]
			}
			want = digest
		})
		if !same {
			return false
		}
	}

	return true
}

// StepsUntil steps until the condition holds and returns the number of steps and true. It
// returns limit and false if the condition does not hold after limit steps.
func (f *Fleet) StepsUntil(limit int, condition func() bool) (int, bool) {
	for steps := range limit {
		if condition() {
			return steps, true
		}
		f.Step()
	}

	return limit, condition()
}
