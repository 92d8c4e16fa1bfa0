package membership

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const seed = 20261204

// Dissemination describes how a rumor spread through a fleet. A round takes Step.
type Dissemination struct {
	Size                          int
	Rounds50, Rounds99, RoundsAll int // until 50%, 99% and all members have the rumor
	// MessagesPerMember and BytesPerMember are the cost of the rumor until all members
	// have it, without the cost of probes and anti-entropy in an idle fleet.
	MessagesPerMember, BytesPerMember float64
	ReachedAll                        bool
}

// MeasureDissemination publishes a withdrawn key at one member of a fleet and steps until
// all members have the entry, at most 40 periods.
func MeasureDissemination(size, zones int) Dissemination {
	f := NewFleet(size, zones, 0, seed)
	const limit = 40 * StepsPerPeriod
	idle := f.measureIdleCost(2 * StepsPerPeriod)
	result := Dissemination{Size: size}
	e := fleet.Entry{Kind: fleet.KindKey, Key: hexKey(1), Version: 2, Value: []byte("ClubMiraflores")}
	f.Messages, f.Bytes = 0, 0
	f.Publish(0, e)
	result.RoundsAll, result.ReachedAll = f.StepsUntil(limit, func() bool {
		have := 0
		for i := range f.Size() {
			f.WithNode(i, func(node *gossip.Node) {
				if _, ok := node.Get(e.Kind, e.Key); ok {
					have++
				}
			})
		}
		if have*2 < size {
			result.Rounds50++
		}
		if have*100 < size*99 {
			result.Rounds99++
		}

		return have == size
	})
	n := float64(size)
	result.MessagesPerMember = (float64(f.Messages) - idle.messages*float64(result.RoundsAll)) / n
	result.BytesPerMember = (float64(f.Bytes) - idle.bytes*float64(result.RoundsAll)) / n

	return result
}

type idleCost struct{ messages, bytes float64 }

// measureIdleCost returns the mean cost of one step of a fleet without changes.
func (f *Fleet) measureIdleCost(steps int) idleCost {
	f.Messages, f.Bytes = 0, 0
	for range steps {
		f.Step()
	}

	return idleCost{float64(f.Messages) / float64(steps), float64(f.Bytes) / float64(steps)}
}

// Cost is the cost of membership for one daemon.
type Cost struct {
	Size, Upstreams, Keys int
	// ChangesPerSecond is the rate of changes to member entries in the whole fleet.
	ChangesPerSecond float64
	// BytesPerSecond counts the frames and stream headers that a daemon sends, and
	// MessagesPerSecond the frames. On average a daemon receives as many as it sends.
	BytesPerSecond, MessagesPerSecond float64
	// CoreShare is the share of one core, 0 to 1, without the cost of sockets.
	CoreShare float64
	// HeapBytes is the live heap per replica.
	HeapBytes float64
}

// changesPerSecond is the rate of changes at the target size of 3,500 daemons: 11,000
// restarts and 750 failures a day, each with four changes of an upstream's state and one
// of the member itself.
const changesPerSecond = float64(11_750*5) / 86_400

// MeasureCost runs a sample of at most 32 replicas of a fleet for the given simulated time.
// The rate of changes is changesPerSecond in proportion to the size.
func MeasureCost(size, upstreams, keys int, duration time.Duration) Cost {
	const replicas, zones = 32, 32
	heapBefore := liveHeap()
	f := NewSample(size, min(size, replicas), min(zones, size), upstreams, seed)
	f.EncodeFrames = true
	addKeys(f, keys)
	result := Cost{
		Size: size, Upstreams: upstreams, Keys: keys,
		ChangesPerSecond: changesPerSecond * float64(size) / 3500,
	}
	result.HeapBytes = float64(liveHeap()-heapBefore) / float64(f.Size())
	f.Messages, f.Bytes = 0, 0
	start := processorTime()
	steps := int(duration / Step)
	due := 0.0
	for step := range steps {
		for due += result.ChangesPerSecond * Step.Seconds(); due >= 1; due-- {
			member := f.Size() + f.random.IntN(max(size-f.Size(), 1))
			e := f.memberEntry(member, 1, uint64(step+2)) //nolint:gosec // not negative
			f.Publish(f.replicaIndex[e.Key], e)
		}
		f.Step()
	}
	memberSeconds := duration.Seconds() * float64(f.Size())
	result.CoreShare = (processorTime() - start).Seconds() / memberSeconds
	// Messages and Bytes count every frame once, at its sender. Their averages per member
	// are therefore the cost of sending.
	result.BytesPerSecond = float64(f.Bytes) / memberSeconds
	result.MessagesPerSecond = float64(f.Messages) / memberSeconds
	runtime.KeepAlive(f)

	return result
}

// addKeys adds keys to all replicas without the cost of spreading them.
func addKeys(f *Fleet, keys int) {
	const batch = 1000
	for first := 0; first < keys; first += batch {
		entries := make([]fleet.Entry, 0, batch)
		for i := first; i < min(first+batch, keys); i++ {
			value, _ := proto.Marshal(&peerpb.Key{ClientAccount: fmt.Sprintf("client-account-%06d", i)})
			entries = append(entries, fleet.Entry{Kind: fleet.KindKey, Key: hexKey(i), Version: 1, Value: value})
		}
		for i := range f.Size() {
			f.WithNode(i, func(node *gossip.Node) {
				node.Merge(entries, f.now)
				node.Rumors()
			})
		}
	}
}

// hexKey returns the i-th key hash in hexadecimal.
func hexKey(i int) string {
	sum := sha256.Sum256(fmt.Append(nil, "key", i))

	return hex.EncodeToString(sum[:])
}

// liveHeap returns the live heap in bytes after garbage collection.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return int64(stats.HeapAlloc) //nolint:gosec // below 2^63
}

// processorTime returns the processor time of the process so far, in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Detection is how long a fleet took to declare stopped members faulty, in rounds of
// probes, each of which takes 1 s.
type Detection struct {
	Size int
	// MeanUntilSuspected and MeanUntilFaulty are the mean times until the first member
	// suspects a stopped member and until the first member believes it faulty.
	MeanUntilSuspected, MeanUntilFaulty float64
	// MeanUntilFaultyAtAll and WorstUntilFaultyAtAll are the mean and the longest time until
	// all members believe a stopped member faulty.
	MeanUntilFaultyAtAll, WorstUntilFaultyAtAll float64
	Detected, Stopped                           int
	FalseSuspicions                             int
}

// MeasureDetection stops members one after another, and after each waits until all others
// believe it faulty, at most 60 periods.
func MeasureDetection(size, zones, stopped int, faults Faults) Detection {
	f := NewFleet(size, zones, 0, seed)
	f.Faults = faults
	result := Detection{Size: size, Stopped: stopped}
	countStatus := func(stoppedMember int) (suspected, faulty int) {
		for i := range f.Size() {
			f.WithNode(i, func(node *gossip.Node) {
				switch s, _ := node.Status(f.Name(stoppedMember)); {
				case f.IsPaused(i):
				case s == gossip.Suspect:
					suspected++
				case s == gossip.Faulty:
					faulty++
				}
			})
		}

		return suspected, faulty
	}
	for n := range stopped {
		stoppedIndex := n * (size / stopped)
		f.Pause(stoppedIndex)
		stepsUntilFaulty, stepsUntilSuspected := 0, 0
		steps, ok := f.StepsUntil(60*StepsPerPeriod, func() bool {
			suspected, faulty := countStatus(stoppedIndex)
			if suspected+faulty == 0 {
				stepsUntilSuspected++
			}
			if faulty == 0 {
				stepsUntilFaulty++
			}

			return faulty == size-1-n
		})
		if ok {
			result.Detected++
		}
		result.MeanUntilSuspected += float64(stepsUntilSuspected) / StepsPerPeriod / float64(stopped)
		result.MeanUntilFaulty += float64(stepsUntilFaulty) / StepsPerPeriod / float64(stopped)
		result.MeanUntilFaultyAtAll += float64(steps) / StepsPerPeriod / float64(stopped)
		result.WorstUntilFaultyAtAll = max(result.WorstUntilFaultyAtAll, float64(steps)/StepsPerPeriod)
	}
	result.FalseSuspicions = f.falseSuspicions(stopped)

	return result
}

// falseSuspicions returns the number of members that were suspected although they were
// not stopped: the suspicions that the last member knows, which include all that have
// spread, less the number of stopped members.
func (f *Fleet) falseSuspicions(stopped int) int {
	count := 0
	f.WithNode(f.Size()-1, func(node *gossip.Node) {
		node.Range(fleet.KindSuspicion, func(fleet.Entry) { count++ })
	})

	return max(count-stopped, 0)
}

// Convergence describes how the changes of one key at each member spread through a fleet
// with faulty links.
type Convergence struct {
	Name     string
	Size     int
	Rounds   int // rounds of rumors until all members had all changes
	Complete bool
	// Suspicions counts the members that were suspected, and Faulty the members that
	// member 0 believed faulty at the end. No member had stopped.
	Suspicions, Faulty int
}

// MeasureConvergence publishes one key at every member under the faults, steps until all
// members have all keys, at most 60 periods, and then 30 periods more for suspicions.
func MeasureConvergence(name string, size, zones int, faults Faults) Convergence {
	f := NewFleet(size, zones, 0, seed)
	f.Faults = faults
	for i := range size {
		f.Publish(i, fleet.Entry{Kind: fleet.KindKey, Key: hexKey(i), Version: 1})
	}
	result := Convergence{Name: name, Size: size}
	result.Rounds, result.Complete = f.StepsUntil(60*StepsPerPeriod, func() bool {
		for i := range size {
			keys := 0
			f.WithNode(i, func(node *gossip.Node) {
				node.Range(fleet.KindKey, func(fleet.Entry) { keys++ })
			})
			if keys != size {
				return false
			}
		}

		return true
	})
	for range 30 * StepsPerPeriod {
		f.Step()
	}
	result.Suspicions = f.falseSuspicions(0)
	for i := range size {
		f.WithNode(0, func(node *gossip.Node) {
			if s, _ := node.Status(f.Name(i)); s == gossip.Faulty {
				result.Faulty++
			}
		})
	}

	return result
}

// CutZoneOneWay returns a Faults.Cut that loses all frames from the first availability
// zone to the second.
func CutZoneOneWay(zones int) func(from, to int) bool {
	return func(from, to int) bool { return from%zones == 0 && to%zones == 1 }
}

// CutLinksOneWay returns a Faults.Cut that loses all frames on about the given percentage
// of links. Each direction between two members is a link of its own.
func CutLinksOneWay(percent int) func(from, to int) bool {
	return func(from, to int) bool { return (from*7919+to*104729)%100 < percent }
}

// Report runs all measurements for the given sizes, and the costs for simulated times of
// the given duration, and writes the results as tables. Of each element of costs only Size,
// Upstreams and Keys are read.
func Report(w io.Writer, sizes []int, costs []Cost, duration time.Duration) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The error of a write is ignored here, because Flush returns it.
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(out, format, values...) }
	line("Rumor (round = %v)\tto 50%%\tto 99%%\tto all\tmessages/member\tbytes/member\n", Step)
	for _, size := range sizes {
		s := MeasureDissemination(size, zonesOf(size))
		line("%d members\t%d\t%d\t%d\t%.1f\t%.0f\n",
			s.Size, s.Rounds50, s.Rounds99, s.RoundsAll, s.MessagesPerMember, s.BytesPerMember)
	}
	line("\nCost per daemon\tupstreams\tkeys\tchanges/s\tbytes/s\tmessages/s\t%% of a core\theap MB\n")
	for _, c := range costs {
		c = MeasureCost(c.Size, c.Upstreams, c.Keys, duration)
		line("%d members\t%d\t%d\t%.2f\t%.0f\t%.1f\t%.3f\t%.1f\n", c.Size, c.Upstreams, c.Keys,
			c.ChangesPerSecond, c.BytesPerSecond, c.MessagesPerSecond, 100*c.CoreShare, c.HeapBytes/1e6)
	}
	line("\nDetection (rounds of 1 s)\tsuspected\tfaulty at one\tat all\tworst\tdetected\tfalse suspicions\n")
	for _, size := range sizes {
		d := MeasureDetection(size, zonesOf(size), 5, Faults{})
		line("%d members\t%.1f\t%.1f\t%.1f\t%.1f\t%d of %d\t%d\n", d.Size, d.MeanUntilSuspected, d.MeanUntilFaulty,
			d.MeanUntilFaultyAtAll, d.WorstUntilFaultyAtAll, d.Detected, d.Stopped, d.FalseSuspicions)
	}
	line("\nConvergence (100 members, 4 zones)\trounds\tall\tsuspicions\tfaulty\n")
	for _, c := range convergenceCases() {
		r := MeasureConvergence(c.name, 100, 4, c.faults)
		line("%s\t%d\t%t\t%d\t%d\n", r.Name, r.Rounds, r.Complete, r.Suspicions, r.Faulty)
	}

	return out.Flush()
}

type convergenceCase struct {
	name   string
	faults Faults
}

func convergenceCases() []convergenceCase {
	return []convergenceCase{
		{"no faults", Faults{}},
		{"20% loss", Faults{Loss: 0.2}},
		{"20% loss, 20% late", Faults{Loss: 0.2, Delayed: 0.2}},
		{"one zone cannot send to another", Faults{Cut: CutZoneOneWay(4)}},
		{"the same with 20% loss", Faults{Loss: 0.2, Cut: CutZoneOneWay(4)}},
		{"20% of links cut one way", Faults{Cut: CutLinksOneWay(20)}},
	}
}

// zonesOf returns the number of availability zones of a fleet of the given size.
func zonesOf(size int) int {
	if size >= 1000 {
		return 32
	}

	return 4
}
