package cluster_test

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/peer"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Guards against bad input on a peer address that disturbs other traffic or is
// not counted.
func TestBadPeerInputDisturbsNothing(t *testing.T) {
	const rounds = 20

	oversized := protowire.AppendVarint(nil, 2*peer.MaxFrameBytes)
	random := rand.NewChaCha8([32]byte{7})
	garbage := func() []byte {
		data := make([]byte, 4096)
		_, _ = random.Read(data)

		return data
	}
	sessions := uint64(0)
	hello := func(version uint32) []byte {
		// A session with an old number is refused.
		sessions++

		return frame(t, &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: &peerpb.Hello{
			ProtocolVersion: version, Name: "stranger", Incarnation: 1, AvailabilityZone: "a", Session: sessions,
		}}})
	}

	f := start(t, 4, "Harbour", "Sluice")
	streams := []load.Stream{f.stream("Harbour", "POST", "/bookings", 60), f.stream("Sluice", "GET", "/calendar/pond", 60)}
	stop := f.traffic(8, streams...)

	time.Sleep(time.Second)

	for range rounds {
		for _, daemon := range f.Daemons {
			for _, data := range [][]byte{garbage(), {0x02, 0xff, 0xff}, oversized, hello(peer.ProtocolVersion + 1), nil} {
				f.sendBad(daemon, data)
			}

			for _, data := range [][]byte{{0x02, 0xff, 0xff}, oversized, garbage()} {
				f.sendBadStream(daemon, hello(peer.ProtocolVersion), data)
			}
		}
	}

	f.undisturbed(stop(), streams)

	for _, daemon := range f.Daemons {
		counts := f.peerCounters(daemon)
		for _, name := range []string{"Malformed", "WrongVersion", "Oversized"} {
			if counts[name] < rounds {
				t.Errorf("%s counted %d frames as %s, want at least %d", daemon.Name, counts[name], name, rounds)
			}
		}
	}
}

func frame(t *testing.T, message *peerpb.Frame) []byte {
	t.Helper()

	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}

	return append(protowire.AppendVarint(nil, uint64(len(data))), data...)
}

func (f *fleet) dialPeer(daemon *cluster.Daemon) net.Conn {
	var dialer net.Dialer

	connection, err := dialer.DialContext(f.t.Context(), "tcp", daemon.PeerAddress.String())
	if err != nil {
		f.t.Fatal(err)
	}

	f.must(connection.SetDeadline(time.Now().Add(10 * time.Second)))

	return connection
}

// sendBad sends data in place of a Hello and reads the daemon's answer.
func (f *fleet) sendBad(daemon *cluster.Daemon, data []byte) {
	connection := f.dialPeer(daemon)
	defer func() { _ = connection.Close() }()

	// The daemon may close the connection before it has read everything.
	_, _ = connection.Write(data)

	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}

	_, _ = io.Copy(io.Discard, connection)
}

// sendBadStream opens a session and sends data in place of a frame.
func (f *fleet) sendBadStream(daemon *cluster.Daemon, hello, data []byte) {
	connection := f.dialPeer(daemon)
	defer func() { _ = connection.Close() }()

	_, err := connection.Write(hello)
	f.must(err)

	// Reads byte by byte, so that nothing of the session's data is taken.
	answer := &peerpb.Frame{}
	f.must(protodelim.UnmarshalFrom(byteReader{connection}, answer))

	config := yamux.DefaultConfig()
	config.LogOutput, config.EnableKeepAlive = io.Discard, false

	session, err := yamux.Client(connection, config)
	if err != nil {
		f.must(err)

		return
	}

	defer func() { _ = session.Close() }()

	stream, err := session.Open()
	if err != nil {
		f.must(err)

		return
	}

	_, _ = stream.Write(data)
	_ = stream.Close()
	_, _ = io.Copy(io.Discard, stream)
}

type byteReader struct{ io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var one [1]byte

	_, err := io.ReadFull(r, one[:])

	return one[0], err
}

func (f *fleet) peerCounters(daemon *cluster.Daemon) map[string]int {
	f.t.Helper()

	answer, err := cluster.SendRequest(f.t.Context(), http.MethodGet, "http://"+daemon.OperatorAddress.String()+"/Metrics", "")
	if err != nil {
		f.t.Fatal(err)
	}

	defer func() { _ = answer.Body.Close() }()

	var metrics struct {
		Kumquatshelf struct{ Peers map[string]int }
	}

	f.must(json.NewDecoder(answer.Body).Decode(&metrics))

	return metrics.Kumquatshelf.Peers
}
