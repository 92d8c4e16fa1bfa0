package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// world is a store and two daemons that the client reaches over loopback.
type world struct {
	t       *testing.T
	store   *platform.Store
	address string // of the store
	// before is called before each write of the manifest.
	before func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	daemons []*httptest.Server
	down    map[int]bool // daemons that drop every call
	actions []string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: platform.New(rand.New(rand.NewPCG(1, 2))), down: map[int]bool{}}
	handler := w.store.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.before != nil && r.Method != http.MethodGet && strings.Contains(r.URL.Path, "/Manifest") {
			w.before(rw, r)
		}
		handler.ServeHTTP(rw, r)
	}))
	t.Cleanup(server.Close)
	w.address = strings.TrimPrefix(server.URL, "http://")
	for i := range 2 {
		daemon := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(i, rw, r) }))
		t.Cleanup(daemon.Close)
		w.daemons = append(w.daemons, daemon)
	}

	return w
}

func (w *world) daemonAddress(i int) string {
	return strings.TrimPrefix(w.daemons[i].URL, "http://")
}

func (w *world) serve(i int, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[i] {
		panic(http.ErrAbortHandler)
	}
	name := fmt.Sprintf("d%d", i)
	if r.URL.Path == "/Status" {
		status := operator.Status{Daemon: name, ConfigurationVersion: 1}
		for j := range w.daemons {
			status.Daemons = append(status.Daemons, operator.Daemon{
				Name: fmt.Sprintf("d%d", j), ConfigurationVersion: 1, OperatorAddress: netip.MustParseAddrPort(w.daemonAddress(j)),
			})
		}
		status.Services = []operator.Service{{Name: "Calendar", Slots: 6, Upstreams: []operator.Upstream{
			{Name: "u1", Daemon: "d1", State: "Ready", Alive: true, Slots: 6},
		}}}
		_ = json.NewEncoder(rw).Encode(status)

		return
	}
	if r.URL.Path == "/Upstreams" {
		_ = json.NewEncoder(rw).Encode([]operator.Upstream{
			{Name: fmt.Sprintf("u%d", i), Daemon: name, State: "Ready", Alive: true, Slots: 6, Suspicion: 0.75, Suspect: true},
		})

		return
	}
	w.actions = append(w.actions, fmt.Sprintf("%s %s by %s", name, r.URL.Path, r.Header.Get(operator.HeaderOperator)))
	switch {
	case r.Method == http.MethodPost && strings.Contains(r.URL.Path, "/unknown/"):
		rw.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && strings.Contains(r.URL.Path, "/refused/"):
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(operator.Confirmation{Daemon: name, Detail: "below the floor"})
	default:
		_ = json.NewEncoder(rw).Encode(operator.Confirmation{Daemon: name})
	}
}

// run returns the exit code and what was printed.
func (w *world) run(stdin, line string) (code int, stdout, stderr string) {
	w.t.Helper()
	var out, problems bytes.Buffer
	p := &program{stdin: strings.NewReader(stdin), stdout: &out, stderr: &problems}
	replacer := strings.NewReplacer("STORE", "--platform "+w.address+" --operator ana", "D0", "--daemon "+w.daemonAddress(0), "D1", "--daemon "+w.daemonAddress(1), "ANA", "--operator ana")
	code = p.main(w.t.Context(), strings.Fields(replacer.Replace(line)))

	return code, out.String(), problems.String()
}

func (w *world) file(name, content string) string {
	path := filepath.Join(w.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		w.t.Fatal(err)
	}

	return path
}

const (
	team   = "Team = Calendars\n[Service Calendar]\nFloor = 6\nDeadline = 2s\n[ClientAccount Club]\nRate = 50/s\nBurst = 100\n"
	absent = "0000000000000000000000000000000000000000000000000000000000000000"
)

// Guards against wrong exit codes and reports of each command in each state of
// the store and the daemons.
func TestCommands(t *testing.T) {
	t.Parallel()
	outage := func(w *world) { w.store.SetFaults(platform.Faults{Outage: true}) }
	daemonsDown := func(w *world) { w.down = map[int]bool{0: true, 1: true} }
	all := func(steps ...func(w *world)) func(w *world) {
		return func(w *world) {
			for _, step := range steps {
				step(w)
			}
		}
	}
	for name, c := range map[string]struct {
		prepare func(w *world)
		stdin   string
		line    string
		want    int
		stdout  string // regular expressions
		stderr  string
		actions string
	}{
		"no command":               {line: "", want: exitUsage, stderr: "a command is required"},
		"unknown option":           {line: "status --nonsense", want: exitUsage, stderr: "unknown argument --nonsense"},
		"malformed address":        {line: "status --daemon localhost", want: exitUsage, stderr: "--daemon"},
		"malformed operator":       {line: "drain u1 D0 --operator \x01", want: exitUsage, stderr: "--operator"},
		"key alone":                {line: "key", want: exitUsage, stderr: "give or withdraw"},
		"validate":                 {line: "validate FILE", want: exitOK, stdout: "no findings: 1 services, 0 routes, 1 client accounts"},
		"validate nothing":         {line: "validate", want: exitUsage},
		"validate faults":          {line: "validate BROKEN", want: exitRejected, stderr: `broken.ini: \[Service Calendar\] Floor: "0" is not accepted; expected a percentage`},
		"validate absent file":     {line: "validate /nonexistent", want: exitRejected, stderr: "/nonexistent: cannot be read"},
		"validate settings":        {line: "validate --settings FILE", want: exitRejected, stderr: `\[Daemon\]: is missing; expected a section`},
		"publish":                  {line: "publish FILE STORE D0", want: exitOK, stdout: "version 1 is published(?s:.*)2 of 2 daemons run version 1"},
		"publish without operator": {line: "publish FILE", want: exitUsage, stderr: "--operator is missing"},
		"publish without store":    {line: "publish FILE ANA", want: exitUsage, stderr: "--platform is missing"},
		"publish without daemon":   {line: "publish FILE STORE", want: exitOK, stdout: "not known how many"},
		"publish, daemons down":    {prepare: daemonsDown, line: "publish FILE STORE D0 --wait 10ms", want: exitOK, stdout: "version 1", stderr: "no daemon answered"},
		"publish faults":           {line: "publish BROKEN STORE", want: exitRejected, stderr: "1 findings; nothing was changed"},
		"publish above the slots":  {line: "publish HIGH STORE D0", want: exitRejected, stderr: "Floor: 7 slots are above the capacity"},
		"publish in an outage":     {prepare: outage, line: "publish FILE STORE --timeout 20ms", want: exitUnreachable, stderr: "nothing was changed"},
		"publish, conflict": {
			prepare: func(w *world) {
				w.publish(team)
				w.before = func(http.ResponseWriter, *http.Request) {
					w.before = nil
					w.publish(team + "# other\n")
				}
			},
			line: "publish FILE STORE", want: exitConflict, stderr: "another publication changed Calendars",
		},
		"publish, answer lost": {prepare: func(w *world) { w.store.SetFaults(platform.Faults{LoseAnswers: 2}) }, line: "publish FILE STORE", want: exitOK, stdout: "version 1 is published"},
		"publish, unknown": {
			prepare: func(w *world) {
				w.before = func(rw http.ResponseWriter, r *http.Request) {
					w.store.Handler().ServeHTTP(httptest.NewRecorder(), r)
					outage(w)
					panic(http.ErrAbortHandler)
				}
			},
			line: "publish FILE STORE --timeout 100ms", want: exitUnknown, stderr: "repeat it with --id",
		},
		"status":                  {line: "status D0", want: exitOK, stdout: `daemon d0 runs configuration version 1(?s:.*)u1 +d1`},
		"status as JSON":          {line: "status D0 --json", want: exitOK, stdout: `"Daemon": "d0"`},
		"status of the second":    {prepare: func(w *world) { w.down[0] = true }, line: "status D0 D1", want: exitOK, stdout: "daemon d1"},
		"status asks owners":      {line: "status D0", want: exitOK, stdout: `healthy 0 of 6(?s:.*)u1 +d1 +Ready +0.75 +true`},
		"status, owner away":      {prepare: func(w *world) { w.down[1] = true }, line: "status D0", want: exitOK, stdout: `healthy 6 of 6`, stderr: "daemon d1 did not tell"},
		"status, daemons down":    {prepare: daemonsDown, line: "status D0", want: exitUnreachable},
		"status without daemon":   {line: "status", want: exitUsage},
		"give":                    {prepare: func(w *world) { w.publish(team) }, line: "key give Club STORE", want: exitOK, stdout: `^[\w-]{43}\n$`, stderr: "shown only once"},
		"give, answer lost":       {prepare: func(w *world) { w.publish(team); w.store.SetFaults(platform.Faults{LoseAnswers: 1}) }, line: "key give Club STORE", want: exitOK, stdout: `^[\w-]{43}\n$`},
		"give to nobody":          {prepare: func(w *world) { w.publish(team) }, line: "key give Nobody STORE", want: exitRejected, stdout: "^$", stderr: `\[ClientAccount Nobody\]: does not exist; expected a client account`},
		"give in an outage":       {prepare: outage, line: "key give Club STORE --timeout 20ms", want: exitUnreachable, stdout: "^$"},
		"give without account":    {line: "key give STORE", want: exitUsage},
		"withdraw":                {line: "key withdraw " + absent + " STORE D0", want: exitOK, stdout: "2 of 2 daemons confirmed the withdrawal; store: withdrawn", actions: "d0 /Keys/" + absent + "/Withdraw by ana"},
		"withdraw by key":         {stdin: "secret\n", line: "key withdraw STORE D0", want: exitOK, stdout: "2 of 2", actions: "/Keys/" + keystore.Hash("secret") + "/Withdraw"},
		"withdraw without a key":  {line: "key withdraw STORE", want: exitUsage},
		"withdraw, malformed":     {line: "key withdraw notahash STORE", want: exitUsage, stderr: "HASH is not a hash"},
		"withdraw in an outage":   {prepare: outage, line: "key withdraw " + absent + " STORE D0 --timeout 20ms", want: exitOK, stdout: "2 of 2 daemons confirmed the withdrawal; store: Unavailable"},
		"withdraw, daemons down":  {prepare: daemonsDown, line: "key withdraw " + absent + " STORE D0", want: exitOK, stdout: "0 of 1 daemons confirmed the withdrawal; store: withdrawn"},
		"withdraw, one down":      {prepare: func(w *world) { w.down[1] = true }, line: "key withdraw " + absent + " ANA D0", want: exitOK, stdout: "1 of 2 daemons confirmed the withdrawal; store: not asked"},
		"withdraw, nothing there": {prepare: outage, line: "key withdraw " + absent + " STORE --timeout 20ms", want: exitUnreachable, stderr: "the key is not withdrawn"},
		"withdraw, unknown":       {prepare: all(outage, daemonsDown), line: "key withdraw " + absent + " STORE D0 --timeout 20ms", want: exitUnknown},
		"withdraw, nowhere":       {line: "key withdraw " + absent + " ANA", want: exitUsage},
		"drain":                   {line: "drain u1 ANA D0", want: exitOK, stdout: "upstream u1 is drained, confirmed by daemon d1", actions: "d1 /Upstreams/u1/Drain by ana"},
		"undrain":                 {line: "undrain u1 ANA D0", want: exitOK, stdout: "no longer drained", actions: "d1 /Upstreams/u1/Undrain by ana"},
		"drain unknown":           {line: "drain unknown ANA D0", want: exitRejected, stderr: `no upstream "unknown" is announced`},
		"drain refused":           {line: "drain refused ANA D0", want: exitRejected, stderr: "below the floor"},
		"drain, answer lost":      {prepare: daemonsDown, line: "drain u1 ANA D0", want: exitUnknown},
		"drain, nothing there":    {line: "drain u1 ANA --daemon 127.0.0.1:1", want: exitUnreachable},
		"audit":                   {prepare: func(w *world) { w.publish(team) }, line: "audit STORE", want: exitOK, stdout: `ana  Publish Manifest/Current  0 -> 1 `},
		"audit as JSON":           {prepare: func(w *world) { w.publish(team) }, line: "audit STORE --json --who ana", want: exitOK, stdout: `^{"Who":"ana","When":"[^"]+","Action":"Publish"`},
		"audit of another":        {prepare: func(w *world) { w.publish(team) }, line: "audit STORE --who bo", want: exitOK, stdout: "^$"},
		"audit in an outage":      {prepare: outage, line: "audit STORE", want: exitUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			if c.prepare != nil {
				c.prepare(w)
			}
			line := strings.NewReplacer(
				"FILE", w.file("team.ini", team), "BROKEN", w.file("broken.ini", strings.Replace(team, "6", "0", 1)),
				"HIGH", w.file("high.ini", strings.Replace(team, "6", "7", 1)),
			).Replace(c.line)
			code, stdout, stderr := w.run(c.stdin, line)
			if code != c.want || !regexp.MustCompile(c.stdout).MatchString(stdout) || !regexp.MustCompile(c.stderr).MatchString(stderr) {
				t.Errorf("got exit code %d, output %q and errors %q, want %d, %q and %q", code, stdout, stderr, c.want, c.stdout, c.stderr)
			}
			if got := strings.Join(w.actions, "\n"); !strings.Contains(got, c.actions) {
				t.Errorf("got actions %q, want %q among them", got, c.actions)
			}
			if strings.Contains(stdout+stderr, "notahash") || strings.Contains(stdout+stderr, "secret") {
				t.Errorf("got output %q and errors %q, want no key in them", stdout, stderr)
			}
		})
	}
}

func (w *world) publish(content string) {
	if code, _, stderr := w.run("", "publish STORE "+w.file("team.ini", content)); code != exitOK {
		w.t.Errorf("got exit code %d with %s, want 0", code, stderr)
	}
}

// Guards against a repeated publication that takes effect twice, and against a
// key that is found anywhere but on standard output.
func TestSequences(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	const id = "6ba7b810-9dad-11d1-80b4-00c04fd430c8"
	for range 2 {
		code, stdout, _ := w.run("", "publish STORE --id "+id+" "+w.file("team.ini", team))
		if code != exitOK || !strings.Contains(stdout, "version 1 is published") {
			t.Errorf("got exit code %d and %q, want version 1 both times", code, stdout)
		}
	}
	_, key, problems := w.run("", "key give Club STORE")
	key = strings.TrimSpace(key)
	if code, stdout, _ := w.run(key+"\n", "key withdraw STORE"); code != exitOK || strings.Contains(stdout, "no such key") {
		t.Errorf("got exit code %d and %q, want the given key withdrawn", code, stdout)
	}
	found := problems
	for _, kind := range []string{keystore.Kind, "Audit", "Manifest", "Part"} {
		objects, _ := w.store.List(t.Context(), kind, "")
		for _, object := range objects {
			found += object.Name + string(object.Value)
		}
	}
	if strings.Contains(found, key) || !strings.Contains(found, keystore.Hash(key)) {
		t.Error("got the key in the store or in errors, want only its hash")
	}
	if _, stdout, _ := w.run("", "audit STORE --action KeyWithdraw"); strings.Count(stdout, "\n") != 1 || !strings.Contains(stdout, "1 -> 2") {
		t.Errorf("got %q, want one record of the withdrawal", stdout)
	}
}

// Guards against progress that is missing on a terminal, or that reaches files.
func TestProgressOnlyOnTerminal(t *testing.T) {
	t.Parallel()
	for _, terminal := range []bool{true, false} {
		w := newWorld(t)
		var out, problems bytes.Buffer
		p := &program{stdin: strings.NewReader(""), stdout: &out, stderr: &problems, terminal: terminal}
		code := p.main(t.Context(), []string{"publish", "--platform", w.address, "--operator", "ana", w.file("team.ini", team)})
		if got := strings.Contains(problems.String(), "\r\x1b[Kwriting parts: 0 of 2"); code != exitOK || got != terminal || strings.Contains(out.String(), "\r") {
			t.Errorf("got exit code %d, errors %q and output %q, want progress: %v", code, problems.String(), out.String(), terminal)
		}
	}
}

// Guards against a command without help.
func TestHelp(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	for _, line := range []string{"", "validate", "publish", "status", "key", "key give", "key withdraw", "drain", "undrain", "audit"} {
		if code, stdout, _ := w.run("", line+" --help"); code != exitOK || !strings.Contains(stdout, "Usage: kumquatshelf") || !strings.Contains(stdout, "Exit codes:") {
			t.Errorf("%q: got exit code %d and %q, want help", line, code, stdout)
		}
	}
}
