package ingress

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

const (
	// streamGrace is how long answers run on after their key was withdrawn.
	// With keys.FreshFor and two intervals it stays below the 3 seconds
	// within which a withdrawn key must stop working.
	streamGrace = 500 * time.Millisecond
	// watchInterval is how often the freshness of the key table is checked
	// for running streams.
	watchInterval = 200 * time.Millisecond
)

// ErrKeyWithdrawn is returned by the body of an answer that was cut because
// its key was withdrawn.
var ErrKeyWithdrawn = errors.New("the request's key was withdrawn")

// stream is an answer on its way to the caller.
type stream struct {
	io.ReadCloser
	hash   keys.Hash
	owner  *streams
	mu     sync.Mutex
	failed error
	// cutAt is when the answer ends if it is still running. Zero is never.
	cutAt time.Time
}

// Read reads the body until the stream is cut.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.failed != nil {
		return 0, s.failed
	}

	return n, err
}

// Close ends the stream.
func (s *stream) Close() error {
	s.owner.remove(s)

	return s.ReadCloser.Close()
}

func (s *stream) cut(err error) {
	s.mu.Lock()
	s.failed = err
	s.mu.Unlock()

	_ = s.ReadCloser.Close()
}

// streams indexes running answers by key hash.
type streams struct {
	mu     sync.Mutex
	byHash map[keys.Hash]map[*stream]struct{}
}

func newStreams() *streams {
	return &streams{byHash: make(map[keys.Hash]map[*stream]struct{})}
}

func (s *streams) add(hash keys.Hash, reply *fleet.Reply) {
	running := &stream{ReadCloser: reply.Answer.Body, hash: hash, owner: s}
	reply.Answer.Body = running

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.byHash[hash] == nil {
		s.byHash[hash] = make(map[*stream]struct{})
	}

	s.byHash[hash][running] = struct{}{}
}

func (s *streams) remove(running *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.byHash[running.hash], running)

	if len(s.byHash[running.hash]) == 0 {
		delete(s.byHash, running.hash)
	}
}

// due marks the streams whose key is not accepted any more, clears the mark of
// the others, and returns the streams whose grace has passed.
func (s *streams) due(now time.Time, accepted func(keys.Hash) bool) []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()

	var ended []*stream

	for hash, running := range s.byHash {
		ok := accepted(hash)
		for one := range running {
			switch {
			case ok:
				one.cutAt = time.Time{}
			case one.cutAt.IsZero():
				one.cutAt = now.Add(streamGrace)
			case !now.Before(one.cutAt):
				ended = append(ended, one)
			}
		}
	}

	return ended
}

// RecheckStreams makes the ingress look at running answers at once.
func (in *Ingress) RecheckStreams() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// watchStreams cuts answers whose key was withdrawn, or whose daemon cannot
// learn of withdrawals, after the grace.
func (in *Ingress) watchStreams(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-in.wake:
		case <-ticker.C:
		}

		now := time.Now()
		fresh := keys.Fresh(now, in.ContactSource.Contact())

		ended := in.streams.due(now, func(hash keys.Hash) bool {
			_, status := in.Keys.Lookup(hash)

			return fresh && status == keys.Valid
		})
		for _, one := range ended {
			in.Metrics.Add("StreamsCut", 1)
			one.cut(ErrKeyWithdrawn)
		}
	}
}
