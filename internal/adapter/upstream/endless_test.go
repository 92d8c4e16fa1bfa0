package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// shedProtocol takes answers with status 503 for requests that did not run.
type shedProtocol struct{ idProtocol }

func (p shedProtocol) Classify(status int, header http.Header, attempt fleet.Attempt) fleet.CallResult {
	if status == http.StatusServiceUnavailable {
		return fleet.CallShed
	}

	return p.idProtocol.Classify(status, header, attempt)
}

// maxEndlessHeap is the heap, in bytes, that one answer without end may take. An instance
// has 184 MB, of which control may use 32 MB, and 3 to 7 slots.
const maxEndlessHeap = 4 << 20

// Guards against an upstream that sends bytes without end: they must not fill the memory
// or hold the request after its deadline, and a request that was shed must be reported at
// once. The upstream must see the connection closed, and the next request must be served.
func TestEndlessAnswers(t *testing.T) {
	const (
		// A result that must come early comes long before the late deadline.
		soonDeadline = 200 * time.Millisecond
		lateDeadline = time.Minute
	)
	numbered := func(i int) string { return "X-" + strconv.Itoa(i) + ":1\r\n" }
	repeated := func(text string) func(int) string { return func(int) string { return text } }
	long := strings.Repeat("x", 1<<10)
	chunked := answerFor("a", "Transfer-Encoding: chunked\r\n")
	chunked = strings.Replace(chunked[:len(chunked)-1], "Content-Length: 1\r\n", "", 1)
	for _, tt := range []struct {
		name  string
		start string
		next  func(i int) string
		// pause is the time between two parts.
		pause time.Duration
		want  fleet.CallResult
		// early means that the call, or with cutShort the body, ends before the deadline.
		early    bool
		cutShort bool
	}{
		{"header lines", "HTTP/1.1 200 OK\r\n", numbered, 0, fleet.CallFailed, true, false},
		{"header lines, slow", "HTTP/1.1 200 OK\r\n", numbered, 5 * time.Millisecond, fleet.CallTimedOut, false, false},
		{"one header line", "HTTP/1.1 200 OK\r\nX-A: ", repeated(long), 0, fleet.CallFailed, true, false},
		{"no status line", "", repeated(long), 0, fleet.CallFailed, true, false},
		{"informational answers", "", repeated("HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"), 0, fleet.CallFailed, true, false},
		{"answers to other requests", "", repeated(answerFor("other", "")), 0, fleet.CallForeign, true, false},
		{"body of another answer", strings.Replace(answerFor("other", ""), "Content-Length: 5", "Connection: close", 1), repeated(long), 0, fleet.CallForeign, true, false},
		{"body of a shed request", "HTTP/1.1 503 Service Unavailable\r\n\r\n", repeated(long), 0, fleet.CallShed, true, false},
		{"body of a shed request, slow", "HTTP/1.1 503 Service Unavailable\r\n\r\n", repeated("x"), 5 * time.Millisecond, fleet.CallShed, true, false},
		{"chunked body", chunked, repeated("400\r\n" + long + "\r\n"), 0, fleet.CallAnswered, false, true},
		{"chunk extension", chunked + "1;", repeated(long), 0, fleet.CallAnswered, true, true},
		{"trailer", chunked + "1\r\na\r\n0\r\n", numbered, 0, fleet.CallAnswered, true, true},
		{"body without a length", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", repeated(long), 0, fleet.CallAnswered, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan struct{})
			u := newScriptedUpstream(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				id, _ := readRequest(reader)
				if number > 1 {
					_, _ = io.WriteString(conn, answerFor(id, ""))

					return
				}
				defer close(closed)
				_, err := io.WriteString(conn, tt.start)
				// The upstream shares the heap, so it must not produce garbage of its own.
				var text string
				var part []byte
				for i := 0; err == nil; i++ {
					if next := tt.next(i); next != text {
						text, part = next, []byte(next)
					}
					_, err = conn.Write(part)
					time.Sleep(tt.pause)
				}
			})
			c, cleanUp := NewClient(shedProtocol{})
			defer cleanUp()
			deadline := soonDeadline
			if tt.early {
				deadline = lateDeadline
			}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			attempt := attemptWith(http.MethodGet, "/", "", http.Header{"X-Id": {"a"}})
			attempt.RequestID = "a"

			heapBefore := heapInUse()
			answer, got := c.Call(ctx, u.Upstream, attempt)
			if tt.cutShort {
				if _, err := io.Copy(io.Discard, answer.Body); err == nil {
					t.Error("got a complete body, want one that is cut short")
				}
				_ = answer.Body.Close()
			}
			heap, early := heapInUse()-heapBefore, ctx.Err() == nil
			if got != tt.want || early != tt.early {
				t.Errorf("got result %v, before the deadline %v, want %v, %v", got, early, tt.want, tt.early)
			}
			if heap > maxEndlessHeap {
				t.Errorf("got %d bytes of heap, want at most %d", heap, maxEndlessHeap)
			}
			<-closed
			if text, result := callWithID(t, c, u.Upstream, "next", ""); text != "next" {
				t.Errorf("got %q %v for the next request, want its answer", text, result)
			}
		})
	}
}

// heapInUse returns the bytes of the objects on the heap, garbage included.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return int64(stats.HeapAlloc) //nolint:gosec // below 1 TB
}
