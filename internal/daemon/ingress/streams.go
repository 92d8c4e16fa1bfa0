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
	// streamGrace is how long answers may continue after their key was withdrawn. With
	// keys.FreshnessLimit and two watch intervals, it stays below the 3 seconds within which a
	// withdrawn key must stop working.
	streamGrace = 500 * time.Millisecond
	// watchInterval is the time between two checks of the keys of running answers, and
	// of the freshness of the key table.
	watchInterval = 200 * time.Millisecond
)

// ErrKeyWithdrawn is returned by the body of an answer that was cut off because its key
// was withdrawn, or because the daemon could not learn of withdrawals any more.
var ErrKeyWithdrawn = errors.New("the request's key was withdrawn")

// stream is the body of an answer that is being passed on to the caller.
type stream struct {
	io.ReadCloser
	// hash identifies the key of the request.
	hash keys.Hash
	// index is where Close removes the stream.
	index *streamIndex
	mu    sync.Mutex
	// err is the reason for which the stream was cut off, or nil.
	err error
	// cutAt is when the answer is cut off if it is still running, or the zero time while
	// its key is valid.
	cutAt time.Time
}

// Read reads the body. After the stream was cut off, it returns the reason as its error.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.err != nil {
		return 0, s.err
	}

	return n, err
}

// Close removes the stream from the index and closes the body.
func (s *stream) Close() error {
	s.index.remove(s)

	return s.ReadCloser.Close()
}

// cut closes the body and makes Read return err.
func (s *stream) cut(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()

	_ = s.ReadCloser.Close()
}

// streamIndex holds the running answers of each key, by the key's hash.
type streamIndex struct {
	mu     sync.Mutex
	byHash map[keys.Hash]map[*stream]struct{}
}

func newStreamIndex() *streamIndex {
	return &streamIndex{byHash: make(map[keys.Hash]map[*stream]struct{})}
}

// add replaces the body of a reply's answer by a stream, and adds it to the index.
func (s *streamIndex) add(hash keys.Hash, reply *fleet.Reply) {
	answer := &stream{ReadCloser: reply.Answer.Body, hash: hash, index: s}
	reply.Answer.Body = answer

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.byHash[hash] == nil {
		s.byHash[hash] = make(map[*stream]struct{})
	}

	s.byHash[hash][answer] = struct{}{}
}

func (s *streamIndex) remove(answer *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.byHash[answer.hash], answer)

	if len(s.byHash[answer.hash]) == 0 {
		delete(s.byHash, answer.hash)
	}
}

// due returns the streams that are to be cut off at now. It sets cutAt of streams whose
// key is no longer valid, and clears cutAt of the others.
func (s *streamIndex) due(now time.Time, valid func(keys.Hash) bool) []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()

	var expired []*stream

	for hash, answers := range s.byHash {
		ok := valid(hash)
		for answer := range answers {
			switch {
			case ok:
				answer.cutAt = time.Time{}
			case answer.cutAt.IsZero():
				answer.cutAt = now.Add(streamGrace)
			case !now.Before(answer.cutAt):
				expired = append(expired, answer)
			}
		}
	}

	return expired
}

// RecheckStreams makes the ingress check the keys of running answers at once. It does not
// block.
func (in *Ingress) RecheckStreams() {
	select {
	case in.recheck <- struct{}{}:
	default:
	}
}

// watchStreams cuts off the answers whose key was withdrawn, and all answers while the
// daemon cannot learn of withdrawals, after streamGrace.
func (in *Ingress) watchStreams(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-in.recheck:
		case <-ticker.C:
		}

		now := time.Now()
		fresh := keys.Fresh(now, in.ContactSource.Contact())

		expired := in.streams.due(now, func(hash keys.Hash) bool {
			_, status := in.Keys.Lookup(hash)

			return fresh && status == keys.Valid
		})
		for _, answer := range expired {
			in.Metrics.Add("StreamsCut", 1)
			answer.cut(ErrKeyWithdrawn)
		}
	}
}
