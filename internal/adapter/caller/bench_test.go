package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// BenchmarkServer measures the server without upstreams over reused loopback
// connections, including the time in which the benchmark reads the responses.
func BenchmarkServer(b *testing.B) {
	server := newServer(b, &fakeForwarder{reply: func() fleet.Reply {
		return ranReply(strings.NewReader("an answer of a few bytes"),
			http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"24"}, "Date": {"Fri, 04 Dec 2026 05:00:00 GMT"}})
	}})

	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		connection, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", server.Address().String())
		if err != nil {
			b.Error(err)

			return
		}

		defer func() { _ = connection.Close() }()

		reader := bufio.NewReader(connection)

		for pb.Next() {
			if _, err := io.WriteString(connection, "GET /read HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nAccept: */*\r\n\r\n"); err != nil {
				b.Error(err)

				return
			}

			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Error(err)

				return
			}

			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	})
}
