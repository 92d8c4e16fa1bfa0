package keys

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const testKey = "ks_Zm9vYmFyLWtleS1mb3ItdGVzdHM"

// TestScrub guards against a key reaching an upstream in any part of a request.
func TestScrub(t *testing.T) {
	t.Parallel()

	tests := []struct {
		name   string
		target string
		header http.Header
		body   string
		want   bool
	}{
		{name: "bearer", target: "/a", header: http.Header{"Authorization": {"Bearer " + testKey}}, want: true},
		{name: "own header", target: "/a", header: http.Header{"Kumquatshelf-Key": {testKey}}, want: true},
		{name: "proxy header", target: "/a", header: http.Header{"Proxy-Authorization": {"Bearer " + testKey}}, want: true},
		{name: "other header", target: "/a", header: http.Header{"X-Debug": {"key=" + testKey}}, want: true},
		{name: "second value", target: "/a", header: http.Header{"X-Debug": {"none", testKey}}, want: true},
		{name: "header name", target: "/a", header: http.Header{http.CanonicalHeaderKey(testKey): {"1"}}, want: true},
		{name: "referer with key", target: "/a", header: http.Header{"Referer": {"http://x/?k=" + testKey}}, want: true},
		{name: "cookie", target: "/a", header: http.Header{"Cookie": {"a=1; k=" + testKey}}, want: true},
		{name: "query", target: "/a?x=1&key=" + testKey, want: true},
		{name: "encoded query", target: "/a?key=%6bs_" + testKey[3:], want: true},
		{name: "doubly encoded query", target: "/a?key=%256bs_" + testKey[3:], want: true},
		{name: "path", target: "/a/" + testKey, want: false},
		{name: "encoded path", target: "/a/%6bs_" + testKey[3:], want: false},
		{name: "body", target: "/a", body: `{"key":"` + testKey + `"}`, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			request := fleet.Request{Target: tt.target, Header: tt.header, Body: []byte(tt.body)}
			if request.Header == nil {
				request.Header = http.Header{}
			}

			got := Scrub(&request, testKey)
			if got != tt.want {
				t.Fatalf("Scrub: got %v, want %v", got, tt.want)
			}

			if got && leaks(t, request) {
				t.Errorf("the key is still in %+v", request)
			}
		})
	}
}

// TestScrubKeepsTheRest guards against losing what the upstream needs.
func TestScrubKeepsTheRest(t *testing.T) {
	t.Parallel()

	request := fleet.Request{
		Target: "/a?x=1&key=" + testKey + "&y=%20",
		Header: http.Header{"Cookie": {"a=1; k=" + testKey + "; b=2"}, "Accept": {"text/plain"}},
	}
	Scrub(&request, testKey)

	if want := "/a?x=1&y=%20"; request.Target != want {
		t.Errorf("target: got %q, want %q", request.Target, want)
	}

	if got, want := request.Header.Get("Cookie"), "a=1; b=2"; got != want {
		t.Errorf("cookies: got %q, want %q", got, want)
	}

	if got, want := request.Header.Get("Accept"), "text/plain"; got != want {
		t.Errorf("accept: got %q, want %q", got, want)
	}
}

// TestScrubProperty guards against leaks in places the table does not list.
func TestScrubProperty(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"", "x", testKey, "a" + testKey + "b", url.QueryEscape(testKey), strings.ToUpper(testKey)})
		name := rapid.SampledFrom([]string{"Cookie", "X-A", "Referer", "Authorization", "Via", "Forwarded"})
		request := fleet.Request{Target: "/p", Header: http.Header{}}

		for range rapid.IntRange(0, 5).Draw(t, "headers") {
			request.Header.Add(name.Draw(t, "name"), text.Draw(t, "a")+";"+text.Draw(t, "b"))
		}

		if rapid.Bool().Draw(t, "query") {
			request.Target += "?a=" + text.Draw(t, "q1") + "&" + text.Draw(t, "q2") + "=1"
		}

		if Scrub(&request, testKey) && leaks(t, request) {
			t.Fatalf("the key is still in %+v", request)
		}
	})
}

func leaks(t interface{ Fatalf(string, ...any) }, request fleet.Request) bool {
	text, err := json.Marshal(request.Header)
	if err != nil {
		t.Fatalf("encode the header: %v", err)
	}

	target, err := url.QueryUnescape(request.Target)
	if err != nil {
		target = request.Target
	}

	all := strings.ToLower(string(text) + request.Target + target + string(request.Body))

	return strings.Contains(all, strings.ToLower(testKey))
}

// TestFromHeader guards against running a request for one of several accounts.
func TestFromHeader(t *testing.T) {
	t.Parallel()

	tests := []struct {
		name   string
		header http.Header
		want   string
		wantOK bool
	}{
		{"none", http.Header{}, "", true},
		{"bearer", http.Header{"Authorization": {"bearer abc"}}, "abc", true},
		{"basic is no key", http.Header{"Authorization": {"Basic abc"}}, "", true},
		{"two schemes", http.Header{"Authorization": {"Bearer a"}, HeaderName: {"b"}}, "", false},
		{"two values", http.Header{"Authorization": {"Bearer a", "Bearer b"}}, "", false},
	}
	for _, tt := range tests {
		got, ok := FromHeader(tt.header)
		if got != tt.want || ok != tt.wantOK {
			t.Errorf("%s: got %q, %v, want %q, %v", tt.name, got, ok, tt.want, tt.wantOK)
		}
	}
}

// TestTableOnlyMovesForward guards against a give that arrives after the
// withdrawal, or a second time, bringing a key back.
func TestTableOnlyMovesForward(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		hash := HashKey(testKey)
		highest := Absent

		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			status := rapid.SampledFrom([]Status{Valid, Withdrawn}).Draw(t, "status")
			table.Apply(hash, "Club", status)
			highest = max(highest, status)

			if _, got := table.Lookup(hash); got != highest {
				t.Fatalf("status: got %v, want %v", got, highest)
			}
		}
	})
}

// TestTableLikeMap guards against keys that are lost, confused with others or
// found under another client account, by comparison with a map.
func TestTableLikeMap(t *testing.T) {
	t.Parallel()

	type entry struct {
		account string
		status  Status
	}

	table, want, withdrawn := NewTable(), map[Hash]entry{}, 0
	random := rand.New(rand.NewPCG(1, 1))
	accounts := []string{"", strings.Repeat("long", chunkBytes)}

	for i := range 3000 {
		accounts = append(accounts, "Account"+strconv.Itoa(i))
	}

	for range 40_000 {
		// Half of the hashes share a bucket, and many of these differ only in
		// the last byte that the table holds.
		var hash Hash
		hash[random.IntN(2)*(idBytes-1)] = byte(random.IntN(256))
		hash[7] = byte(random.IntN(64))
		account := accounts[random.IntN(len(accounts))]
		status := Status(1 + random.IntN(2))
		old := want[hash]
		news := old.status < status

		if got := table.Apply(hash, account, status); got != news {
			t.Fatalf("news about %v: got %v, want %v", hash, got, news)
		}

		if news {
			if old.account != "" {
				account = old.account
			}

			want[hash] = entry{account, status}

			if status == Withdrawn {
				withdrawn++
			}
		}
	}

	for hash, w := range want {
		if account, status := table.Lookup(hash); account != w.account || status != w.status {
			t.Fatalf("%v: got %.20q and %v, want %.20q and %v", hash, account, status, w.account, w.status)
		}

		hash[idBytes-2]++ // of no key
		if account, status := table.Lookup(hash); account != "" || status != Absent {
			t.Fatalf("%v: got %q and %v, want an absent key", hash, account, status)
		}
	}

	if known, gone := table.Counts(); known != len(want) || gone != withdrawn {
		t.Errorf("got %d keys and %d withdrawn, want %d and %d", known, gone, len(want), withdrawn)
	}
}

// TestWithdrawnBeforeGiven guards against a withdrawal without a client account
// keeping a late give from being recorded under the account, or reviving it.
func TestWithdrawnBeforeGiven(t *testing.T) {
	t.Parallel()

	table := NewTable()
	table.Apply(HashKey(testKey), "", Withdrawn)
	table.Apply(HashKey(testKey), "Club", Valid)

	if _, got := table.Lookup(HashKey(testKey)); got != Withdrawn {
		t.Errorf("status: got %v, want %v", got, Withdrawn)
	}
}

// TestFresh guards against a daemon that is cut off accepting withdrawn keys.
func TestFresh(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	recent, old := now.Add(-time.Second), now.Add(-3*time.Second)
	tests := []struct {
		name    string
		contact Contact
		want    bool
	}{
		{"store heard", Contact{Store: recent, KnowsPeers: true, KnowsOtherZones: true}, true},
		{"store away, other zone heard", Contact{Store: old, OtherZone: recent, KnowsPeers: true, KnowsOtherZones: true}, true},
		{"only the own zone heard", Contact{Store: old, Peer: recent, OtherZone: old, KnowsPeers: true, KnowsOtherZones: true}, false},
		{"one zone only", Contact{Peer: recent, KnowsPeers: true}, true},
		{"nothing heard", Contact{Store: old, Peer: old, KnowsPeers: true}, false},
		{"never heard", Contact{KnowsPeers: true}, false},
		{"fleet of one", Contact{}, true},
	}
	for _, tt := range tests {
		if got := Fresh(now, tt.contact); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
