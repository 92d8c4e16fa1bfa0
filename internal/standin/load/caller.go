// Package load is a stand-in for callers. It sends requests at a fixed rate and
// checks that every answer is whole and belongs to its own request.
package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/caller"
)

// Headers that stand-in callers and upstreams agree on.
const (
	RequestIDHeader = caller.RequestIDHeader
	ChecksumHeader  = "Body-Checksum"
	OutcomeHeader   = "Kumquatshelf-Outcome"
)

// Stream describes the requests of one client account to one route.
type Stream struct {
	Name          string
	ClientAccount string
	Key           string
	Method        string
	Host          string
	Path          string
	// Rate is in requests per second.
	Rate float64
	// Idempotent is whether the route may run a request more than once.
	Idempotent bool
	// DaemonIndex pins the stream to one of the daemons, counted from 0. A negative
	// value spreads it over all.
	DaemonIndex int
}

// Verdict is what a caller learned about its request.
type Verdict string

// Verdicts of a caller.
const (
	Ran     Verdict = "Ran"
	NotRun  Verdict = "NotRun"
	Unknown Verdict = "Unknown"
	// Broken means that the connection ended without an answer, or within it.
	Broken Verdict = "Broken"
	// Wrong means that an answer was passed off as whole or as the request's
	// own and was not.
	Wrong Verdict = "Wrong"
)

// Result is one request as its caller saw it.
type Result struct {
	ID     string
	Stream string
	// Daemon is the address that the request was sent to last.
	Daemon  netip.AddrPort
	Sent    time.Time
	Latency time.Duration
	Status  int
	Reason  string
	Verdict Verdict
	// DialFailed says that no connection was accepted, so nothing was sent.
	DialFailed bool
}

// Client sends requests to daemons.
type Client struct {
	http    *http.Client
	daemons []netip.AddrPort
	// run tells the requests of one client from those of an earlier one.
	run     string
	timeout time.Duration
}

// NewClient returns a client for the given daemons, and its clean-up function.
func NewClient(daemons []netip.AddrPort, run string, timeout time.Duration) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	c := &Client{http: &http.Client{Transport: transport}, daemons: daemons, run: run, timeout: timeout}

	return c, transport.CloseIdleConnections
}

// Run sends the streams' requests until ctx ends, waits for their answers and
// returns all results. Requests are sent at their time, whether or not earlier
// ones have been answered.
func (c *Client) Run(ctx context.Context, streams []Stream, seed uint64) []Result {
	var (
		mu      sync.Mutex
		results []Result
		group   sync.WaitGroup
	)

	for i, stream := range streams {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // reproducible traffic
			c.send(ctx, stream, random, &group, func(result Result) {
				mu.Lock()
				defer mu.Unlock()

				results = append(results, result)
			})
		})
	}

	group.Wait()

	return results
}

func (c *Client) send(ctx context.Context, stream Stream, random *rand.Rand, group *sync.WaitGroup, deliver func(Result)) {
	next := time.Now()

	for n := 0; ; n++ {
		// Poisson arrivals, as independent callers make.
		next = next.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))

		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}

		entry, tries := stream.DaemonIndex, 1
		if entry < 0 {
			entry, tries = random.IntN(len(c.daemons)), len(c.daemons)
		}

		id := c.run + "-" + stream.Name + "-" + strconv.Itoa(n)

		group.Go(func() { deliver(c.anywhere(ctx, stream, id, entry, tries)) })
	}
}

// anywhere sends a request to the first daemon from entry on that accepts a
// connection, as a caller that knows several addresses does.
func (c *Client) anywhere(ctx context.Context, stream Stream, id string, entry, tries int) Result {
	var result Result

	for i := range tries {
		result = c.SendTo(ctx, stream, id, c.daemons[(entry+i)%len(c.daemons)])
		if !result.DialFailed {
			break
		}
	}

	return result
}

// SendTo sends one request and judges its answer.
func (c *Client) SendTo(ctx context.Context, stream Stream, id string, daemon netip.AddrPort) Result {
	result := Result{ID: id, Stream: stream.Name, Daemon: daemon, Sent: time.Now(), Verdict: Broken}

	// The end of the run must not cut requests that are under way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()

	var body io.Reader
	if stream.Method != http.MethodGet {
		body = bytes.NewBufferString("request " + id)
	}

	request, err := http.NewRequestWithContext(ctx, stream.Method, "http://"+daemon.String()+stream.Path, body)
	if err != nil {
		result.Reason = err.Error()

		return result
	}

	request.Host = stream.Host
	request.Header.Set(RequestIDHeader, id)
	// A body that cannot be read again keeps net/http from repeating the request.
	request.GetBody = nil

	if stream.Key != "" {
		request.Header.Set("Authorization", "Bearer "+stream.Key)
	}

	answer, err := c.http.Do(request)
	if err != nil {
		var operation *net.OpError

		result.Reason = err.Error()
		result.Latency = time.Since(result.Sent)
		result.DialFailed = errors.As(err, &operation) && operation.Op == "dial"

		return result
	}

	defer func() { _ = answer.Body.Close() }()

	evaluate(answer, &result)

	return result
}

func evaluate(answer *http.Response, result *Result) {
	data, err := io.ReadAll(answer.Body)
	result.Latency = time.Since(result.Sent)
	result.Status = answer.StatusCode

	if err != nil {
		result.Reason = err.Error()

		return
	}

	result.Verdict = Verdict(answer.Header.Get(OutcomeHeader))

	if result.Verdict != Ran {
		result.Reason = string(data)

		return
	}

	if err := check(answer, data, result.ID); err != nil {
		result.Verdict, result.Reason = Wrong, err.Error()
	}
}

var errNoChecksum = errors.New("the answer has no checksum")

func check(answer *http.Response, data []byte, id string) error {
	if answer.StatusCode >= http.StatusInternalServerError {
		return nil
	}

	if got := answer.Header.Get(RequestIDHeader); got != id {
		return fmt.Errorf("the answer is for request %q", got)
	}

	want := answer.Header.Get(ChecksumHeader)
	if want == "" {
		return errNoChecksum
	}

	if got := Checksum(data); got != want {
		return fmt.Errorf("the answer's checksum is %s instead of %s", got, want)
	}

	return nil
}

// Checksum returns the value of the checksum header for a body, its xxHash.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
