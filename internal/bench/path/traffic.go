package path

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// connections is the number of connections of callers, about as many as one upstream
	// has in section 1.2 of the design.
	connections = 330
	// saturatingCallers is the number of requests in flight in the first phase. The
	// upstream would shed further ones in the direct calls.
	saturatingCallers = slots
	// callTimeout is the time limit of one request. It is longer than the service's deadline
	// of 5 s.
	callTimeout = 10 * time.Second
	// longestLatency is the highest latency that a histogram records. Longer ones count as
	// longestLatency.
	longestLatency = 20 * time.Second
	// significantDigits is the precision of histograms.
	significantDigits = 3
)

// sample holds the results of one phase as callers observed them. latency is in nanoseconds
// and counts failed requests too; rate is in requests per second.
type sample struct {
	latency *hdrhistogram.Histogram
	failed  int
	rate    float64
}

func newSample() sample {
	return sample{latency: hdrhistogram.New(1, int64(longestLatency), significantDigits)}
}

func (s *sample) merge(other sample) {
	s.latency.Merge(other.latency)
	s.failed += other.failed
}

// add records the latency of one request, which failed if err is not nil.
func (s *sample) add(latency time.Duration, err error) {
	if err != nil {
		s.failed++
	}

	_ = s.latency.RecordValue(int64(min(latency, longestLatency)))
}

// caller sends one request at a time on a connection that it reuses. It does not use
// net/http's client, whose goroutines would delay direct calls as well.
type caller struct {
	address netip.AddrPort
	request []byte
	conn    net.Conn
	reader  *bufio.Reader
}

func newCaller(address netip.AddrPort, key string) *caller {
	return &caller{address: address, request: []byte("GET /path/item HTTP/1.1\r\nHost: " + host +
		"\r\nAuthorization: Bearer " + key + "\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n")}
}

// do sends a request and reads the answer. It returns an error unless the status is 200, and
// then closes the connection.
func (c *caller) do() error {
	err := c.exchange()
	if err != nil {
		c.close()
	}

	return err
}

func (c *caller) exchange() error {
	if c.conn == nil {
		conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(c.address))
		if err != nil {
			return fmt.Errorf("connect: %w", err)
		}

		c.conn, c.reader = conn, bufio.NewReader(conn)
	}

	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}

	if _, err := c.conn.Write(c.request); err != nil {
		return fmt.Errorf("send request: %w", err)
	}

	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}

	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()

	switch {
	case err != nil:
		return fmt.Errorf("read body: %w", err)
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}

	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// traffic sends requests to one address over connections that it reuses.
type traffic struct {
	callers []*caller
}

func newTraffic(address netip.AddrPort, key string) *traffic {
	t := &traffic{}
	for range connections {
		t.callers = append(t.callers, newCaller(address, key))
	}

	return t
}

func (t *traffic) close() {
	for _, c := range t.callers {
		c.close()
	}
}

// saturate runs saturatingCallers callers, each of which sends its next request when the
// last one has ended (closed loop). It returns the rate of successful requests per second
// and the number of failed ones.
func (t *traffic) saturate(length time.Duration) (perSecond float64, failed int) {
	var (
		group               sync.WaitGroup
		succeeded, failures atomic.Int64
	)

	began := time.Now()

	for _, c := range t.callers[:saturatingCallers] {
		group.Go(func() {
			for time.Since(began) < length {
				if c.do() != nil {
					failures.Add(1)
				} else {
					succeeded.Add(1)
				}
			}
		})
	}

	group.Wait()

	return float64(succeeded.Load()) / time.Since(began).Seconds(), int(failures.Load())
}

// run sends requests at a rate per second that does not depend on the answers (open loop).
// Latency is measured from the time at which a request was due, also if all connections
// were busy then.
func (t *traffic) run(rate float64, length time.Duration, seed uint64) sample {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		total = newSample()
	)

	due := make(chan time.Time, len(t.callers))

	for _, c := range t.callers {
		group.Go(func() {
			callerSample := newSample()

			for at := range due {
				err := c.do()
				callerSample.add(time.Since(at), err)
			}

			mu.Lock()
			defer mu.Unlock()

			total.merge(callerSample)
		})
	}

	began := time.Now()
	schedule(due, rate, length, seed)
	close(due)
	group.Wait()

	total.rate = float64(total.latency.TotalCount()) / time.Since(began).Seconds()

	return total
}

// schedule generates the arrivals of a Poisson process, as independent callers cause them.
// It waits for the time of each arrival and then sends that time to due. The wait is a
// system call, because the runtime's timers round up to a millisecond when idle.
func schedule(due chan<- time.Time, rate float64, length time.Duration, seed uint64) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()

	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // arrivals of a benchmark
	next := time.Now()

	for end := next.Add(length); ; {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			return
		}

		if wait := time.Until(next); wait > 0 {
			pause := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&pause, nil)
		}

		due <- next
	}
}
