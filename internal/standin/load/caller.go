// Package load is a stand-in for callers. It sends requests at a given mean rate and
// checks that every answer is complete and belongs to its own request.
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

// Headers that the stand-in callers and upstreams use.
const (
	RequestIDHeader = caller.RequestIDHeader
	ChecksumHeader  = "Body-Checksum"
	OutcomeHeader   = "Kumquatshelf-Outcome"
)

// Stream describes requests of one client account to one route.
type Stream struct {
	// Name identifies the stream in results and request IDs.
	Name          string
	ClientAccount string
	// Key is the API key. If it is empty, requests carry no Authorization header.
	Key    string
	Method string
	Host   string
	Path   string
	// Rate is the mean rate in requests per second.
	Rate float64
	// Idempotent reports whether the route allows a request to run more than once.
	Idempotent bool
	// DaemonIndex is the index, counted from 0, of the only daemon that the stream sends
	// to. A negative value picks a random daemon for each request, and the daemons after
	// it in turn if no connection to it can be established.
	DaemonIndex int
}

// Verdict is the outcome of a request as its caller can know it.
type Verdict string

// Verdicts of a request.
const (
	// Ran, NotRun and Unknown are the outcomes that the answer's outcome header reports.
	Ran     Verdict = "Ran"
	NotRun  Verdict = "NotRun"
	Unknown Verdict = "Unknown"
	// Broken means that no complete answer was received: the request could not be sent,
	// timed out, or its connection ended first.
	Broken Verdict = "Broken"
	// Wrong means that an answer with the outcome Ran was corrupted or belonged to
	// another request.
	Wrong Verdict = "Wrong"
)

// Result is the outcome of one request at its caller.
type Result struct {
	ID     string
	Stream string
	// Daemon is the caller address of the last daemon that was tried.
	Daemon netip.AddrPort
	Sent   time.Time
	// Latency is the time from Sent to the end of the answer or to the error.
	Latency time.Duration
	Status  int
	// Reason is the error's text or the refusal's body; it is empty if Verdict is Ran.
	Reason  string
	Verdict Verdict
	// DialFailed reports that no connection was established, so nothing was sent.
	DialFailed bool
}

// Client sends requests to daemons. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	daemons []netip.AddrPort
	// idPrefix begins the IDs of Run's requests. It must differ between clients of
	// one fleet, whose upstreams count runs by ID.
	idPrefix string
	// timeout bounds one request, including its answer.
	timeout time.Duration
}

// NewClient returns a client for the daemons with the given caller addresses, and a
// function that closes its idle connections. The prefix begins the request IDs of Run,
// and the timeout bounds one request.
func NewClient(daemons []netip.AddrPort, idPrefix string, timeout time.Duration) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	c := &Client{http: &http.Client{Transport: transport}, daemons: daemons, idPrefix: idPrefix, timeout: timeout}

	return c, transport.CloseIdleConnections
}

// Run sends the streams' requests until ctx ends, waits for their answers and returns
// all results. The load is open: a request is sent at its time even if earlier ones
// have not been answered. Equal seeds give equal sequences of arrivals.
func (c *Client) Run(ctx context.Context, streams []Stream, seed uint64) []Result {
	var (
		mu      sync.Mutex
		results []Result
		group   sync.WaitGroup
	)

	for i, stream := range streams {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // reproducible traffic
			c.sendStream(ctx, stream, random, &group, func(result Result) {
				mu.Lock()
				defer mu.Unlock()

				results = append(results, result)
			})
		})
	}

	group.Wait()

	return results
}

// sendStream sends a stream's requests until ctx ends. Each request runs in the group
// and passes its result to deliver.
func (c *Client) sendStream(ctx context.Context, stream Stream, random *rand.Rand, group *sync.WaitGroup, deliver func(Result)) {
	sendAt := time.Now()

	for sequence := 0; ; sequence++ {
		// Requests of independent callers arrive as a Poisson process, whose gaps are
		// exponentially distributed.
		sendAt = sendAt.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))

		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(sendAt)):
		}

		first, attempts := stream.DaemonIndex, 1
		if first < 0 {
			first, attempts = random.IntN(len(c.daemons)), len(c.daemons)
		}

		id := c.idPrefix + "-" + stream.Name + "-" + strconv.Itoa(sequence)

		group.Go(func() { deliver(c.sendToFirstReachable(ctx, stream, id, first, attempts)) })
	}
}

// sendToFirstReachable sends a request to the first daemon, from the given index on,
// that accepts a connection. A caller that knows several addresses does the same.
func (c *Client) sendToFirstReachable(ctx context.Context, stream Stream, id string, first, attempts int) Result {
	var result Result

	for i := range attempts {
		result = c.SendTo(ctx, stream, id, c.daemons[(first+i)%len(c.daemons)])
		if !result.DialFailed {
			break
		}
	}

	return result
}

// SendTo sends one request with the given ID to one daemon and evaluates its answer. The
// end of ctx does not interrupt it; the client's timeout does.
func (c *Client) SendTo(ctx context.Context, stream Stream, id string, daemon netip.AddrPort) Result {
	result := Result{ID: id, Stream: stream.Name, Daemon: daemon, Sent: time.Now(), Verdict: Broken}

	// The end of the run must not interrupt requests in flight.
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
	// Without GetBody, net/http cannot send the body again. A request that net/http
	// repeated could run a second time under the same ID.
	request.GetBody = nil

	if stream.Key != "" {
		request.Header.Set("Authorization", "Bearer "+stream.Key)
	}

	answer, err := c.http.Do(request)
	if err != nil {
		var opError *net.OpError

		result.Reason = err.Error()
		result.Latency = time.Since(result.Sent)
		result.DialFailed = errors.As(err, &opError) && opError.Op == "dial"

		return result
	}

	defer func() { _ = answer.Body.Close() }()

	evaluateAnswer(answer, &result)

	return result
}

// evaluateAnswer reads an answer and sets the result's latency, status, verdict and reason.
func evaluateAnswer(answer *http.Response, result *Result) {
	body, err := io.ReadAll(answer.Body)
	result.Latency = time.Since(result.Sent)
	result.Status = answer.StatusCode

	if err != nil {
		result.Reason = err.Error()

		return
	}

	result.Verdict = Verdict(answer.Header.Get(OutcomeHeader))

	if result.Verdict != Ran {
		result.Reason = string(body)

		return
	}

	if err := verifyAnswer(answer, body, result.ID); err != nil {
		result.Verdict, result.Reason = Wrong, err.Error()
	}
}

var errNoChecksum = errors.New("answer has no checksum")

// verifyAnswer returns an error if the answer belongs to another request or its checksum
// is missing or wrong. Server errors are not checked, since they carry no checksum.
func verifyAnswer(answer *http.Response, body []byte, id string) error {
	if answer.StatusCode >= http.StatusInternalServerError {
		return nil
	}

	if got := answer.Header.Get(RequestIDHeader); got != id {
		return fmt.Errorf("answer belongs to request %q", got)
	}

	want := answer.Header.Get(ChecksumHeader)
	if want == "" {
		return errNoChecksum
	}

	if got := Checksum(body); got != want {
		return fmt.Errorf("checksum of the answer is %s instead of %s", got, want)
	}

	return nil
}

// Checksum returns the value of the checksum header for a body, which is its 64-bit
// xxHash in hex.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
