package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// wholeAnswers are complete answers of all framings that say where they end.
var wholeAnswers = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 12\r\n\r\nhello, world",
	"empty":         "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10\r\n, world, world, \r\n0\r\nX-Sum: 1\r\n\r\n",
	"informational": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
	"no content":    "HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n",
	"refusal":       "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nKumquatshelf-Shed: true\r\nContent-Length: 0\r\n\r\n",
	"folded":        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Long: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
}

// Guards against an answer whose head or body breaks off anywhere and that is taken as
// complete, or as a refusal of a request that may run.
func TestAnswerThatBreaksOff(t *testing.T) {
	t.Parallel()
	for name, whole := range wholeAnswers {
		for _, reset := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", closed", true: ", reset"}[reset], func(t *testing.T) {
				t.Parallel()
				for cut := range len(whole) {
					text := whole[:cut]
					s := newScriptedUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
						_, _ = readRequest(reader)
						_, _ = io.WriteString(conn, text)
						if reset {
							time.Sleep(time.Millisecond) // until the client has read the text
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					client, cleanUp := NewClient(OwnProtocol{})
					if body, result := callWithID(t, client, s.Upstream, "r1", ""); result != fleet.CallFailed && body != "cut short" {
						t.Errorf("cut after %q: got %v with body %q, want Failed or a body that is cut short", text, result, body)
					}
					cleanUp()
				}
			})
		}
	}
}

// Guards against a panic on arbitrary answers of an upstream, and against lengths that it did
// not send.
func FuzzAnswer(f *testing.F) {
	for _, whole := range wholeAnswers {
		f.Add(whole)
		f.Add(whole[:len(whole)/2])
	}
	for _, length := range []string{"-1", "1.5", "1e3", "99999999999999999999", "0x10", "\xff", "\x00", "5\r\nContent-Length: 6"} {
		f.Add("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nhello")
	}
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nhello")
	f.Add("HTTP/1.1 999 \xff\r\nX-\x00: 1\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxHeadBytes) + "\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999, max=-1\r\nKumquatshelf-Limit: 1e999\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, text)
			_ = far.Close()
		}()
		c := newConn(near, fleet.Upstream{}.Address)
		defer func() { _ = c.Close() }()
		response, err := c.readHead(http.MethodGet)
		if err != nil {
			return
		}
		c.applyKeepAlive(response.Header)
		_, _ = OwnProtocol{}.Classify(response.StatusCode, response.Header, fleet.Attempt{}), OwnProtocol{}.Signals(response.Header)
		body, err := io.ReadAll(response.Body)
		if err == nil && response.ContentLength >= 0 && int64(len(body)) != response.ContentLength {
			t.Errorf("got a body of %d bytes, want %d", len(body), response.ContentLength)
		}
		if err != nil && errors.Is(err, io.EOF) {
			t.Error("got a plain end of the stream for a body with an error")
		}
	})
}
