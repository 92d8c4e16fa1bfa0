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

// fixture is a store and two stub daemons, d0 and d1, that the client reaches over loopback.
type fixture struct {
	t            *testing.T
	store        *platform.Store
	storeAddress string
	// beforeManifestWrite, if not nil, is called before each write of the manifest.
	beforeManifestWrite func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	daemons []*httptest.Server
	down    map[int]bool // daemons that abort every request, by index
	actions []string     // withdrawals, drains and undrains that the daemons received
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, store: platform.New(rand.New(rand.NewPCG(1, 2))), down: map[int]bool{}}
	handler := f.store.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if f.beforeManifestWrite != nil && r.Method != http.MethodGet && strings.Contains(r.URL.Path, "/Manifest") {
			f.beforeManifestWrite(rw, r)
		}
		handler.ServeHTTP(rw, r)
	}))
	t.Cleanup(server.Close)
	f.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for i := range 2 {
		daemon := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { f.serveDaemon(i, rw, r) }))
		t.Cleanup(daemon.Close)
		f.daemons = append(f.daemons, daemon)
	}

	return f
}

func (f *fixture) daemonAddress(i int) string {
	return strings.TrimPrefix(f.daemons[i].URL, "http://")
}

// serveDaemon answers operators' calls as daemon d<i>. It refuses to drain the upstream
// "refused", knows no upstream "unknown", and confirms everything else.
func (f *fixture) serveDaemon(i int, rw http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[i] {
		panic(http.ErrAbortHandler)
	}
	name := fmt.Sprintf("d%d", i)
	if r.URL.Path == "/Status" {
		status := operator.Status{Daemon: name, ConfigurationVersion: 1}
		for j := range f.daemons {
			status.Daemons = append(status.Daemons, operator.Daemon{
				Name: fmt.Sprintf("d%d", j), ConfigurationVersion: 1, OperatorAddress: netip.MustParseAddrPort(f.daemonAddress(j)),
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
	f.actions = append(f.actions, fmt.Sprintf("%s %s by %s", name, r.URL.Path, r.Header.Get(operator.HeaderOperator)))
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

// run runs the client with the arguments in line, in which STORE, ANA, D0 and D1 stand for
// the options that name the store with an operator, the operator, and the two daemons. It
// returns the exit code and the output.
func (f *fixture) run(stdin, line string) (code int, stdout, stderr string) {
	f.t.Helper()
	var out, errorOutput bytes.Buffer
	p := &program{stdin: strings.NewReader(stdin), stdout: &out, stderr: &errorOutput}
	replacer := strings.NewReplacer("STORE", "--platform "+f.storeAddress+" --operator ana", "D0", "--daemon "+f.daemonAddress(0), "D1", "--daemon "+f.daemonAddress(1), "ANA", "--operator ana")
	code = p.main(f.t.Context(), strings.Fields(replacer.Replace(line)))

	return code, out.String(), errorOutput.String()
}

func (f *fixture) writeFile(name, content string) string {
	path := filepath.Join(f.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}

	return path
}

const (
	teamContent = "Team = Calendars\n[Service Calendar]\nFloor = 6\nDeadline = 2s\n[ClientAccount Club]\nRate = 50/s\nBurst = 100\n"
	absentHash  = "0000000000000000000000000000000000000000000000000000000000000000"
)

// Guards against wrong exit codes and output of the commands when the store or daemons fail,
// answers are lost, or arguments are wrong, and against output that repeats a key or a
// malformed hash that the operator entered.
func TestCommands(t *testing.T) {
	t.Parallel()
	outage := func(f *fixture) { f.store.SetFaults(platform.Faults{Outage: true}) }
	daemonsDown := func(f *fixture) { f.down = map[int]bool{0: true, 1: true} }
	inOrder := func(steps ...func(f *fixture)) func(f *fixture) {
		return func(f *fixture) {
			for _, step := range steps {
				step(f)
			}
		}
	}
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		stdin   string
		line    string
		want    int
		stdout  string // a regular expression, like stderr
		stderr  string
		actions string // a substring of the actions that the daemons received
	}{
		"no command":               {line: "", want: exitUsage, stderr: "a command is required"},
		"unknown option":           {line: "status --nonsense", want: exitUsage, stderr: "unknown argument --nonsense"},
		"malformed address":        {line: "status --daemon localhost", want: exitUsage, stderr: "--daemon"},
		"malformed operator":       {line: "drain u1 D0 --operator \x01", want: exitUsage, stderr: "--operator"},
		"key without subcommand":   {line: "key", want: exitUsage, stderr: "give or withdraw"},
		"validate":                 {line: "validate FILE", want: exitOK, stdout: "no findings: 1 services, 0 routes, 1 client accounts"},
		"validate without files":   {line: "validate", want: exitUsage},
		"validate invalid file":    {line: "validate BROKEN", want: exitRejected, stderr: `broken.ini: \[Service Calendar\] Floor: "0" is not accepted; expected a percentage`},
		"validate absent file":     {line: "validate /nonexistent", want: exitRejected, stderr: "/nonexistent: cannot be read"},
		"validate settings":        {line: "validate --settings FILE", want: exitRejected, stderr: `\[Daemon\]: is missing; expected a section`},
		"publish":                  {line: "publish FILE STORE D0", want: exitOK, stdout: "version 1 is published(?s:.*)2 of 2 daemons run version 1"},
		"publish without operator": {line: "publish FILE", want: exitUsage, stderr: "--operator is missing"},
		"publish without store":    {line: "publish FILE ANA", want: exitUsage, stderr: "--platform is missing"},
		"publish without daemon":   {line: "publish FILE STORE", want: exitOK, stdout: "not known how many"},
		"publish, daemons down":    {prepare: daemonsDown, line: "publish FILE STORE D0 --wait 10ms", want: exitOK, stdout: "version 1", stderr: "no daemon answered"},
		"publish invalid file":     {line: "publish BROKEN STORE", want: exitRejected, stderr: "1 findings; nothing was changed"},
		"publish above the slots":  {line: "publish HIGH STORE D0", want: exitRejected, stderr: "Floor: 7 slots are above the capacity"},
		"publish in an outage":     {prepare: outage, line: "publish FILE STORE --timeout 20ms", want: exitUnreachable, stderr: "nothing was changed"},
		"publish, conflict": {
			prepare: func(f *fixture) {
				f.publish(teamContent)
				f.beforeManifestWrite = func(http.ResponseWriter, *http.Request) {
					f.beforeManifestWrite = nil
					f.publish(teamContent + "# other\n")
				}
			},
			line: "publish FILE STORE", want: exitConflict, stderr: "another publication changed Calendars",
		},
		"publish, answer lost": {prepare: func(f *fixture) { f.store.SetFaults(platform.Faults{LoseAnswers: 2}) }, line: "publish FILE STORE", want: exitOK, stdout: "version 1 is published"},
		"publish, unknown": {
			prepare: func(f *fixture) {
				f.beforeManifestWrite = func(rw http.ResponseWriter, r *http.Request) {
					f.store.Handler().ServeHTTP(httptest.NewRecorder(), r)
					outage(f)
					panic(http.ErrAbortHandler)
				}
			},
			line: "publish FILE STORE --timeout 100ms", want: exitOutcomeUnknown, stderr: "repeat it with --id",
		},
		"status":                          {line: "status D0", want: exitOK, stdout: `daemon d0 runs configuration version 1(?s:.*)u1 +d1`},
		"status as JSON":                  {line: "status D0 --json", want: exitOK, stdout: `"Daemon": "d0"`},
		"status of the second":            {prepare: func(f *fixture) { f.down[0] = true }, line: "status D0 D1", want: exitOK, stdout: "daemon d1"},
		"status asks owners":              {line: "status D0", want: exitOK, stdout: `healthy 0 of 6(?s:.*)u1 +d1 +Ready +0.75 +true`},
		"status, owner down":              {prepare: func(f *fixture) { f.down[1] = true }, line: "status D0", want: exitOK, stdout: `healthy 6 of 6`, stderr: "daemon d1 did not tell"},
		"status, daemons down":            {prepare: daemonsDown, line: "status D0", want: exitUnreachable},
		"status without daemon":           {line: "status", want: exitUsage},
		"give":                            {prepare: func(f *fixture) { f.publish(teamContent) }, line: "key give Club STORE", want: exitOK, stdout: `^[\w-]{43}\n$`, stderr: "shown only once"},
		"give, answer lost":               {prepare: func(f *fixture) { f.publish(teamContent); f.store.SetFaults(platform.Faults{LoseAnswers: 1}) }, line: "key give Club STORE", want: exitOK, stdout: `^[\w-]{43}\n$`},
		"give to unknown account":         {prepare: func(f *fixture) { f.publish(teamContent) }, line: "key give Nobody STORE", want: exitRejected, stdout: "^$", stderr: `\[ClientAccount Nobody\]: does not exist; expected a client account`},
		"give in an outage":               {prepare: outage, line: "key give Club STORE --timeout 20ms", want: exitUnreachable, stdout: "^$"},
		"give without account":            {line: "key give STORE", want: exitUsage},
		"withdraw":                        {line: "key withdraw " + absentHash + " STORE D0", want: exitOK, stdout: "2 of 2 daemons confirmed the withdrawal; store: withdrawn", actions: "d0 /Keys/" + absentHash + "/Withdraw by ana"},
		"withdraw by key":                 {stdin: "secret\n", line: "key withdraw STORE D0", want: exitOK, stdout: "2 of 2", actions: "/Keys/" + keystore.Hash("secret") + "/Withdraw"},
		"withdraw without a key":          {line: "key withdraw STORE", want: exitUsage},
		"withdraw, malformed":             {line: "key withdraw notahash STORE", want: exitUsage, stderr: "HASH is not a hash"},
		"withdraw in an outage":           {prepare: outage, line: "key withdraw " + absentHash + " STORE D0 --timeout 20ms", want: exitOK, stdout: "2 of 2 daemons confirmed the withdrawal; store: Unavailable"},
		"withdraw, daemons down":          {prepare: daemonsDown, line: "key withdraw " + absentHash + " STORE D0", want: exitOK, stdout: "0 of 1 daemons confirmed the withdrawal; store: withdrawn"},
		"withdraw, one down":              {prepare: func(f *fixture) { f.down[1] = true }, line: "key withdraw " + absentHash + " ANA D0", want: exitOK, stdout: "1 of 2 daemons confirmed the withdrawal; store: not asked"},
		"withdraw, store down, no daemon": {prepare: outage, line: "key withdraw " + absentHash + " STORE --timeout 20ms", want: exitUnreachable, stderr: "the key is not withdrawn"},
		"withdraw, unknown":               {prepare: inOrder(outage, daemonsDown), line: "key withdraw " + absentHash + " STORE D0 --timeout 20ms", want: exitOutcomeUnknown},
		"withdraw without address":        {line: "key withdraw " + absentHash + " ANA", want: exitUsage},
		"drain":                           {line: "drain u1 ANA D0", want: exitOK, stdout: "upstream u1 is drained, confirmed by daemon d1", actions: "d1 /Upstreams/u1/Drain by ana"},
		"undrain":                         {line: "undrain u1 ANA D0", want: exitOK, stdout: "no longer drained", actions: "d1 /Upstreams/u1/Undrain by ana"},
		"drain unknown":                   {line: "drain unknown ANA D0", want: exitRejected, stderr: `no upstream "unknown" is announced`},
		"drain refused":                   {line: "drain refused ANA D0", want: exitRejected, stderr: "below the floor"},
		"drain, answer lost":              {prepare: daemonsDown, line: "drain u1 ANA D0", want: exitOutcomeUnknown},
		"drain, daemon unreachable":       {line: "drain u1 ANA --daemon 127.0.0.1:1", want: exitUnreachable},
		"audit":                           {prepare: func(f *fixture) { f.publish(teamContent) }, line: "audit STORE", want: exitOK, stdout: `ana  Publish Manifest/Current  0 -> 1 `},
		"audit as JSON":                   {prepare: func(f *fixture) { f.publish(teamContent) }, line: "audit STORE --json --who ana", want: exitOK, stdout: `^{"Who":"ana","When":"[^"]+","Action":"Publish"`},
		"audit of another":                {prepare: func(f *fixture) { f.publish(teamContent) }, line: "audit STORE --who bo", want: exitOK, stdout: "^$"},
		"audit in an outage":              {prepare: outage, line: "audit STORE", want: exitUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			if c.prepare != nil {
				c.prepare(f)
			}
			line := strings.NewReplacer(
				"FILE", f.writeFile("team.ini", teamContent), "BROKEN", f.writeFile("broken.ini", strings.Replace(teamContent, "6", "0", 1)),
				"HIGH", f.writeFile("high.ini", strings.Replace(teamContent, "6", "7", 1)),
			).Replace(c.line)
			code, stdout, stderr := f.run(c.stdin, line)
			if code != c.want || !regexp.MustCompile(c.stdout).MatchString(stdout) || !regexp.MustCompile(c.stderr).MatchString(stderr) {
				t.Errorf("got exit code %d, output %q and errors %q, want %d, %q and %q", code, stdout, stderr, c.want, c.stdout, c.stderr)
			}
			if got := strings.Join(f.actions, "\n"); !strings.Contains(got, c.actions) {
				t.Errorf("got actions %q, want %q among them", got, c.actions)
			}
			if strings.Contains(stdout+stderr, "notahash") || strings.Contains(stdout+stderr, "secret") {
				t.Errorf("got output %q and errors %q, want no key in them", stdout, stderr)
			}
		})
	}
}

func (f *fixture) publish(content string) {
	if code, _, stderr := f.run("", "publish STORE "+f.writeFile("team.ini", content)); code != exitOK {
		f.t.Errorf("got exit code %d with %s, want 0", code, stderr)
	}
}

// Guards against a publication that takes effect again when it is repeated with the same
// ID, and against a key that is written in the clear to the store or to stderr.
func TestSequences(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	const id = "6ba7b810-9dad-11d1-80b4-00c04fd430c8"
	for range 2 {
		code, stdout, _ := f.run("", "publish STORE --id "+id+" "+f.writeFile("team.ini", teamContent))
		if code != exitOK || !strings.Contains(stdout, "version 1 is published") {
			t.Errorf("got exit code %d and %q, want version 1 both times", code, stdout)
		}
	}
	_, key, errorOutput := f.run("", "key give Club STORE")
	key = strings.TrimSpace(key)
	if code, stdout, _ := f.run(key+"\n", "key withdraw STORE"); code != exitOK || strings.Contains(stdout, "no such key") {
		t.Errorf("got exit code %d and %q, want the given key withdrawn", code, stdout)
	}
	searched := errorOutput
	for _, kind := range []string{keystore.Kind, "Audit", "Manifest", "Part"} {
		objects, _ := f.store.List(t.Context(), kind, "")
		for _, object := range objects {
			searched += object.Name + string(object.Value)
		}
	}
	if strings.Contains(searched, key) || !strings.Contains(searched, keystore.Hash(key)) {
		t.Error("got the key in the store or in errors, want only its hash")
	}
	if _, stdout, _ := f.run("", "audit STORE --action KeyWithdraw"); strings.Count(stdout, "\n") != 1 || !strings.Contains(stdout, "1 -> 2") {
		t.Errorf("got %q, want one record of the withdrawal", stdout)
	}
}

// Guards against progress that is not shown on a terminal, and against terminal control
// sequences in redirected output.
func TestProgressOnlyOnTerminal(t *testing.T) {
	t.Parallel()
	for _, terminal := range []bool{true, false} {
		f := newFixture(t)
		var out, errorOutput bytes.Buffer
		p := &program{stdin: strings.NewReader(""), stdout: &out, stderr: &errorOutput, terminal: terminal}
		code := p.main(t.Context(), []string{"publish", "--platform", f.storeAddress, "--operator", "ana", f.writeFile("team.ini", teamContent)})
		if got := strings.Contains(errorOutput.String(), "\r\x1b[Kwriting parts: 0 of 2"); code != exitOK || got != terminal || strings.Contains(out.String(), "\r") {
			t.Errorf("got exit code %d, errors %q and output %q, want progress: %v", code, errorOutput.String(), out.String(), terminal)
		}
	}
}

// Guards against a command whose --help lacks the usage or the exit codes.
func TestHelp(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, line := range []string{"", "validate", "publish", "status", "key", "key give", "key withdraw", "drain", "undrain", "audit"} {
		if code, stdout, _ := f.run("", line+" --help"); code != exitOK || !strings.Contains(stdout, "Usage: kumquatshelf") || !strings.Contains(stdout, "Exit codes:") {
			t.Errorf("%q: got exit code %d and %q, want help", line, code, stdout)
		}
	}
}
