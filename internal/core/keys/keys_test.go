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
				t.Errorf("the key was not removed from %+v", request)
			}
		})
	}
}

// TestScrubKeepsOtherContent guards against the removal of query parameters, cookies and
// header fields that do not contain the key.
func TestScrubKeepsOtherContent(t *testing.T) {
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

// TestScrubProperty guards against leaks of the key in combinations that the cases of
// TestScrub do not list.
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
			t.Fatalf("the key was not removed from %+v", request)
		}
	})
}

// leaks reports whether the request contains the test key in any letter case, with or
// without percent-encoding.
func leaks(t interface{ Fatalf(string, ...any) }, request fleet.Request) bool {
	text, err := json.Marshal(request.Header)
	if err != nil {
		t.Fatalf("encode header: %v", err)
	}

	target, err := url.QueryUnescape(request.Target)
	if err != nil {
		target = request.Target
	}

	searchedText := strings.ToLower(string(text) + request.Target + target + string(request.Body))

	return strings.Contains(searchedText, strings.ToLower(testKey))
}

// TestFromHeader guards against a request with several keys that runs for the client
// account of one of them.
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

// TestTableOnlyMovesForward guards against a withdrawn key that becomes valid again when
// the update that issued it arrives after the withdrawal or a second time.
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

// TestTableLikeMap compares the table with a map. It guards against keys that are lost,
// confused with others or found under another client account.
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
		// Half of the hashes share a bucket, and many of these differ only in the last
		// byte that the table stores.
		var hash Hash
		hash[random.IntN(2)*(idBytes-1)] = byte(random.IntN(256))
		hash[7] = byte(random.IntN(64))
		account := accounts[random.IntN(len(accounts))]
		status := Status(1 + random.IntN(2))
		old := want[hash]
		changed := old.status < status

		if got := table.Apply(hash, account, status); got != changed {
			t.Fatalf("update of %v: got changed %v, want %v", hash, got, changed)
		}

		if changed {
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

		hash[idBytes-2]++ // no key has this hash
		if account, status := table.Lookup(hash); account != "" || status != Absent {
			t.Fatalf("%v: got %q and %v, want no account and Absent", hash, account, status)
		}
	}

	if gotCount, gotWithdrawn := table.Counts(); gotCount != len(want) || gotWithdrawn != withdrawn {
		t.Errorf("got %d keys and %d withdrawn, want %d and %d", gotCount, gotWithdrawn, len(want), withdrawn)
	}
}

// TestWithdrawnBeforeValid guards against a key that is valid because its withdrawal,
// which names no client account, arrived before the update that issued it.
func TestWithdrawnBeforeValid(t *testing.T) {
	t.Parallel()

	table := NewTable()
	table.Apply(HashKey(testKey), "", Withdrawn)
	table.Apply(HashKey(testKey), "Club", Valid)

	if _, got := table.Lookup(HashKey(testKey)); got != Withdrawn {
		t.Errorf("status: got %v, want %v", got, Withdrawn)
	}
}

// TestFresh guards against a partitioned daemon that accepts withdrawn keys.
func TestFresh(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	recent, old := now.Add(-time.Second), now.Add(-3*time.Second)
	tests := []struct {
		name    string
		contact Contact
		want    bool
	}{
		{"recent contact with the store", Contact{Store: recent, KnowsPeers: true, KnowsOtherZones: true}, true},
		{"no store, recent contact with another zone", Contact{Store: old, OtherZone: recent, KnowsPeers: true, KnowsOtherZones: true}, true},
		{"recent contact with the own zone only", Contact{Store: old, Peer: recent, OtherZone: old, KnowsPeers: true, KnowsOtherZones: true}, false},
		{"fleet in one zone", Contact{Peer: recent, KnowsPeers: true}, true},
		{"no recent contact", Contact{Store: old, Peer: old, KnowsPeers: true}, false},
		{"no contact ever", Contact{KnowsPeers: true}, false},
		{"single daemon", Contact{}, true},
	}
	for _, tt := range tests {
		if got := Fresh(now, tt.contact); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
