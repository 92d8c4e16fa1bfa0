package peer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Guards against invalid data from one peer that affects the sessions of other peers,
// and against invalid frames that no counter shows.
func TestInvalidFrames(t *testing.T) {
	hello := &peerpb.Hello{ProtocolVersion: ProtocolVersion, Name: "X", Session: 1}
	old := &peerpb.Hello{ProtocolVersion: ProtocolVersion + 1, Name: "X", Session: 1}
	encode := func(h *peerpb.Hello) []byte {
		b, _ := appendFrame(nil, helloFrame(h))

		return b
	}
	for _, c := range []struct {
		name, counter, reason string
		raw, stream           []byte
	}{
		{"malformed hello", "Malformed", "Malformed", []byte{3, 0xff, 0xff, 0xff}, nil},
		{"size that is no varint", "Malformed", "Malformed", bytes.Repeat([]byte{0xff}, 11), nil},
		{"empty frame", "Malformed", "Malformed", []byte{0}, nil},
		{"oversized hello", "Oversized", "Oversized", []byte{0xff, 0xff, 0xff, 0x7f}, nil},
		{"wrong version", "WrongVersion", "WrongVersion", encode(old), nil},
		{"malformed frame", "Malformed", "Malformed", encode(hello), []byte{2, 0xff, 0xff}},
		{"oversized frame", "Oversized", "Oversized", encode(hello), []byte{0xff, 0xff, 0xff, 0x7f}},
		{"unknown frame", "Unsupported", "Unsupported", encode(hello), encode(hello)},
		{"half a hello", "Refused", "", encode(hello)[:3], nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server, _ := newPair(t, nil, testTiming(), answerWith(strings.NewReader("ok"), "2"))
			probe := &peerpb.Frame{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}}
			if _, ok := client.Call(t.Context(), "B", probe); !ok {
				t.Fatal("got no answer to a probe")
			}
			conn, err := net.Dial("tcp", server.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write(c.raw)
			reader := newReader(conn)
			if c.stream == nil {
				_ = conn.(*net.TCPConn).CloseWrite()
			} else {
				_, _ = readFrame(reader)
				// A yamux data frame that opens stream 1, encoded by hand.
				_, _ = conn.Write(append([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, byte(len(c.stream))}, c.stream...))
				_, _ = io.ReadFull(reader, make([]byte, 24)) // the acknowledgement and the header of a data frame
			}
			if frame, _ := readFrame(reader); frame.GetError().GetReason() != c.reason {
				t.Errorf("got %v, want an error frame %q", frame, c.reason)
			}
			waitFor(t, "counting the invalid frame", func() bool { return server.Variables().Get(c.counter).String() == "1" })
			if _, ok := client.Call(t.Context(), "B", probe); !ok || client.counters.Dials.Value() != 1 {
				t.Error("got a failed call or a new dial on the other session, want neither")
			}
		})
	}
}

// Guards against panics, unbounded allocation and frames that decode to a different
// message after they are encoded again.
func FuzzFrame(f *testing.F) {
	for _, frame := range []*peerpb.Frame{
		errorFrame("Malformed", "x"),
		fromAttempt(&fleet.Attempt{Service: "S", Request: fleet.Request{Header: http.Header{"A": {"\xff"}}}}),
		helloFrame(&peerpb.Hello{Name: "A", Session: 3}),
	} {
		seed, _ := appendFrame(nil, frame)
		f.Add(seed)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newReader(bytes.NewReader(data))
		defer freeReader(reader)
		frame, result := readFrame(reader)
		if (result == frameOK) != (frame != nil) {
			t.Fatalf("got frame %v with result %v", frame, result)
		}
		if frame == nil {
			return
		}
		_ = toAttempt(&peerpb.Attempt{Header: frame.GetAttempt().GetHeader()})
		reencoded, ok := appendFrame(nil, frame)
		if !ok {
			t.Fatal("a frame that was read cannot be encoded")
		}
		decoded, result := readFrame(newReader(bytes.NewReader(reencoded)))
		if result != frameOK || decoded.String() != frame.String() {
			t.Fatalf("got %v, want %v", decoded, frame)
		}
	})
}
