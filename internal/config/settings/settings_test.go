package settings

import (
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"
)

// readExample returns the example settings file of a deployment.
func readExample(t *testing.T, deployment string) string {
	t.Helper()
	content, err := os.ReadFile("../../../examples/" + deployment + "/daemon.ini")
	if err != nil {
		t.Fatal(err)
	}

	return string(content)
}

// Guards against example settings files that a daemon would reject.
func TestExamples(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"lima", "villalobos"} {
		settings, findings := Parse("daemon.ini", []byte(readExample(t, deployment)))
		if len(findings) > 0 {
			t.Fatalf("%s: got findings\n%v\nwant none", deployment, findings)
		}
		if got, want := settings.Name, deployment+"-a-1"; got != want {
			t.Errorf("got name %q, want %q", got, want)
		}
		if got, want := len(settings.Seeds), 2; got != want {
			t.Errorf("got %d seeds, want %d", got, want)
		}
	}
	settings, _ := Parse("daemon.ini", []byte(readExample(t, "lima")))
	if got, want := settings.PeerAddress, netip.MustParseAddrPort("127.0.0.1:7001"); got != want {
		t.Errorf("got peer address %v, want %v", got, want)
	}
}

// Guards against bounds of the platform that are not whole numbers and that a daemon
// would reject at its start, and against a slack of 0 that is rejected.
func TestParseRetrySlack(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]float64{"28.395": 28.395, "56": 56, "0": 0} {
		settings, findings := Parse("d.ini", []byte(readExample(t, "lima")+"\n[Bounds]\nRetrySlack = "+text+"\n"))
		if got := settings.Bounds.RetrySlack; len(findings) > 0 || got != want {
			t.Errorf("got slack %g and findings %v, want %g", got, findings, want)
		}
	}
	for _, text := range []string{"-1", "NaN", "2e6", "many"} {
		if _, findings := Parse("d.ini", []byte(readExample(t, "lima")+"\n[Bounds]\nRetrySlack = "+text+"\n")); len(findings) != 1 {
			t.Errorf("slack %s: got findings %v, want one", text, findings)
		}
	}
}

// Guards against a bound for changes of the configuration that is lost, or that makes each
// daemon call the store without end.
func TestParseConfigurationDelay(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]time.Duration{"2s": 2 * time.Second, "2.5s": 2500 * time.Millisecond, "17s": 17 * time.Second} {
		settings, findings := Parse("d.ini", []byte(readExample(t, "lima")+"\n[Bounds]\nConfigurationDelay = "+text+"\n"))
		if got := settings.Bounds.ConfigurationDelay; len(findings) > 0 || got != want {
			t.Errorf("got %v and findings %v, want %v", got, findings, want)
		}
	}
	for _, text := range []string{"0s", "-1s", "1ms", "2", "soon"} {
		if _, findings := Parse("d.ini", []byte(readExample(t, "lima")+"\n[Bounds]\nConfigurationDelay = "+text+"\n")); len(findings) != 1 {
			t.Errorf("delay %s: got findings %v, want one", text, findings)
		}
	}
}

// Guards against invalid settings that are accepted and fail later, and against
// findings without the file, section or key.
func TestParseReportsEachFault(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		old, replacement string
		want             []string
	}{
		"unknown key":            {"Seeds", "Seed", []string{"d.ini: [Peers] Seed: is not a known key; expected one of Seeds"}},
		"unknown section":        {"[Peers]", "[Peer]", []string{"d.ini: [Peer]: is not a known section"}},
		"section twice":          {"[Limits]", "[Peers]\n[Limits]", []string{"[Peers]: is given twice"}},
		"key before any section": {"[Daemon]", "X = 1\n[Daemon]", []string{"d.ini: X: is not a known key"}},
		"missing section":        {"[Platform]\nAddress = 127.0.0.1:7100", "", []string{"d.ini: [Platform]: is missing"}},
		"missing name":           {"Name = lima-a-1\n", "", []string{"[Daemon] Name: is missing"}},
		"host name as address":   {"CallerAddress = 127.0.0.1:7000", "CallerAddress = localhost:7000", []string{`CallerAddress: "localhost:7000"`}},
		"port zero":              {"127.0.0.1:7000", "127.0.0.1:0", []string{"CallerAddress:"}},
		"same address":           {"127.0.0.1:7002", "127.0.0.1:7001", []string{`LocalAddress: "127.0.0.1:7001" is also PeerAddress`}},
		"metrics at the readiness address": {
			"OperatorAddress =", "ReadyAddress = 127.0.0.1:9001\nMetricsAddress = 127.0.0.1:9001\nOperatorAddress =",
			[]string{`MetricsAddress: "127.0.0.1:9001" is also ReadyAddress`},
		},
		"same port, any address":  {"127.0.0.1:7000", "0.0.0.0:7003", []string{"OperatorAddress:"}},
		"peer address unspecific": {"127.0.0.1:7001", "0.0.0.0:7001", []string{"PeerAddress:"}},
		"seed without port":       {"127.0.0.1:7011", "127.0.0.1", []string{`Seeds: "127.0.0.1"`}},
		"seed twice":              {"127.0.0.1:7011", "127.0.0.1:7021", []string{"is listed twice"}},
		"seeds with empty item":   {"127.0.0.1:7011, ", ", ", []string{"has an empty item"}},
		"body above a frame":      {"1048576", "1048577", []string{`MaxBodyBytes: "1048577"`}},
		"header zero":             {"16384", "0", []string{`MaxHeaderBytes: "0"`}},
		"all in one pass":         {"Region = lima\n", "Zone = x\nWhat = y\n", []string{"Region: is missing", "Zone: is not", "What: is not"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, findings := Parse("d.ini", []byte(strings.Replace(readExample(t, "lima"), c.old, c.replacement, 1)))
			if len(findings) != len(c.want) {
				t.Fatalf("got findings\n%v\nwant %q", findings, c.want)
			}
			for i, part := range c.want {
				if got := findings[i].String(); !strings.Contains(got, part) {
					t.Errorf("got %q, want it to contain %q", got, part)
				}
			}
		})
	}
}
