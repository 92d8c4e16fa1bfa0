package document

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// peerTimeout bounds all requests to other daemons in one attempt.
	peerTimeout = 500 * time.Millisecond
	// peerRetryDelay is the delay before each attempt to fetch a version from peers.
	peerRetryDelay = 100 * time.Millisecond
	// peersPerFetch is how many peers are asked in one attempt. The next one is asked if
	// the one before has not answered within nextPeerDelay, which covers many round
	// trips within a region.
	peersPerFetch = 3
	nextPeerDelay = 100 * time.Millisecond
	// headKey is the key of the only entry of fleet.KindHead, which holds the newest
	// version and the hash of its value.
	headKey = "Current"
)

// HandleFetchPart answers another daemon's request for the installed value. The answer is
// a part that is not found if no value is installed, or neither its version is newer than
// the sender's nor its hash the requested one.
func (f *Follower) HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part {
	current := f.current.Load()
	if current == nil {
		return &peerpb.Part{}
	}
	newer := request.GetNewerThan() > 0 && current.configuration.Version > request.GetNewerThan()
	if !newer && request.GetHash() != "" && request.GetHash() != current.hash {
		return &peerpb.Part{}
	}

	return &peerpb.Part{Found: true, Value: current.value}
}

// catchUpLoop fetches newer versions that other daemons have installed until ctx ends.
func (f *Follower) catchUpLoop(ctx context.Context, _ *rand.Rand) {
	changed, unsubscribe := f.Entries.Subscribe(fleet.KindHead)
	defer unsubscribe()
	for ctx.Err() == nil {
		head := f.newestHead()
		if f.Current() != nil && head.GetVersion() <= f.installedVersion() {
			select {
			case <-ctx.Done():
			case <-changed:
			}

			continue
		}
		now := time.Now()
		f.behindSince.CompareAndSwap(nil, &now)
		f.missedSince.CompareAndSwap(nil, &now)
		// Usually the store delivers the version during this delay, so that it need not
		// be fetched from peers.
		sleep(ctx, peerRetryDelay)
		if f.Current() == nil || f.newestHead().GetVersion() > f.installedVersion() {
			f.fetchFromPeers(ctx)
		}
	}
}

// fetchFromPeers requests a version newer than the installed one from up to peersPerFetch
// daemons, or any version if none is installed. Not only the newest known version is
// accepted, because the others may already have replaced it. The next daemon is asked if the one before did
// not deliver a newer version within nextPeerDelay.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	before := f.installedVersion()
	hash := ""
	if f.Current() != nil {
		hash = f.newestHead().GetManifestHash()
	}
	request := &peerpb.Frame{Body: &peerpb.Frame_FetchPart{FetchPart: &peerpb.FetchPart{Hash: hash, NewerThan: before}}}
	var calls sync.WaitGroup
	var asked, absent atomic.Int64
	for _, daemon := range f.Members.PeersOwnZoneFirst(peersPerFetch) {
		if f.installedVersion() > before {
			break
		}
		done := make(chan struct{})
		calls.Go(func() {
			defer close(done)
			asked.Add(1)
			answer, ok := f.Peers.Call(ctx, daemon, request)
			switch {
			case ok && answer.GetPart().GetFound():
				f.install(answer.GetPart().GetValue(), daemon)
			case ok:
				absent.Add(1)
			}
		})
		timer := time.NewTimer(nextPeerDelay)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	calls.Wait()
	if f.installedVersion() == before && asked.Load() > 0 {
		f.Log.Info("configuration not fetched", "running", before, "newest_head", f.newestHead().GetVersion(),
			"asked", asked.Load(), "not_found", absent.Load(), "behind", age(f.behindSince.Load()))
	}
}

// newestHead returns the newest head among the replicated entries that this daemon has
// received, or an empty head if there is none.
func (f *Follower) newestHead() *peerpb.Head {
	newest := &peerpb.Head{}
	f.Entries.Range(fleet.KindHead, func(entry fleet.Entry) {
		var head peerpb.Head
		if proto.Unmarshal(entry.Value, &head) == nil && head.GetVersion() > newest.GetVersion() {
			newest = &head
		}
	})

	return newest
}

// headEntry returns the replicated entry that announces an installed version.
func headEntry(version uint64, hash string) fleet.Entry {
	value, err := proto.Marshal(&peerpb.Head{Version: version, ManifestHash: hash})
	if err != nil {
		panic("encode head entry: " + err.Error()) // only invalid UTF-8 fails
	}

	return fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: version, Value: value}
}
