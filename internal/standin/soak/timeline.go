package soak

import (
	"net/netip"
	"sync"
	"time"
)

// disturbance is a time span in which a daemon, or all of them, was disturbed.
type disturbance struct {
	kind stepKind
	// daemon is the index of the daemon, or allDaemons.
	daemon       int
	began, ended time.Time
}

// allDaemons marks a disturbance that affects every daemon. daemonIndex returns it for an
// unknown address.
const allDaemons = -1

// timeline records disturbances and findings. It is safe for concurrent use.
type timeline struct {
	mu           sync.Mutex
	disturbances []disturbance
	findings     []string
}

// beginDisturbance records the start of a disturbance and returns the function that records
// its end.
func (t *timeline) beginDisturbance(kind stepKind, daemon int) func() {
	t.mu.Lock()
	defer t.mu.Unlock()

	index := len(t.disturbances)
	t.disturbances = append(t.disturbances, disturbance{kind: kind, daemon: daemon, began: time.Now()})

	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()

		t.disturbances[index].ended = time.Now()
	}
}

// wasDisturbed reports whether a daemon was disturbed in one of the given ways at some time
// between from and to, or within the margin before from. A disturbance without an end is
// still going on.
func (t *timeline) wasDisturbed(daemon int, from, to time.Time, margin time.Duration, kinds ...stepKind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, d := range t.disturbances {
		if d.daemon != daemon && d.daemon != allDaemons {
			continue
		}

		for _, kind := range kinds {
			if d.kind == kind && d.began.Before(to) && (d.ended.IsZero() || d.ended.Add(margin).After(from)) {
				return true
			}
		}
	}

	return false
}

// addFinding records a violated guarantee.
func (t *timeline) addFinding(finding string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.findings = append(t.findings, finding)
}

// allFindings returns the violated guarantees so far.
func (t *timeline) allFindings() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.findings
}

// daemonIndex returns the index of the daemon with the given caller address, or allDaemons
// if there is none.
func daemonIndex(addresses []netip.AddrPort, address netip.AddrPort) int {
	for i, candidate := range addresses {
		if candidate == address {
			return i
		}
	}

	return allDaemons
}
