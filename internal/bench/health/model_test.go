package health

import (
	"testing"
)

// TestCases guards the requirements under every fault: the floor is never
// crossed by ejections (R1), gray upstreams are detected, and nothing but a
// gray upstream is ejected.
func TestCases(t *testing.T) {
	t.Parallel()
	for _, s := range settings() {
		for _, f := range append(faults(), none) {
			t.Run(s.deployment.Name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				r := play(s.deployment, f, thisPolicy, s.threshold, 1, caseLength)
				if r.least < r.required {
					t.Errorf("least healthy slots: got %d, want at least %d", r.least, r.required)
				}
				if want := f.gray != 0; r.detected != want {
					t.Errorf("detected: got %v, want %v", r.detected, want)
				}
				if f.gray == 0 && r.falseEjections > 0 {
					t.Errorf("ejections without a gray upstream: got %v, want 0", r.falseEjections)
				}
				if r.all < 1000 {
					t.Errorf("requests: got %d, want traffic", r.all)
				}
			})
		}
	}
}

// TestDeterminism guards comparisons between policies: the same seed plays the
// same run.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	f := faults()[0]
	a := play(Lima, f, thisPolicy, 8, 3, caseLength)
	b := play(Lima, f, thisPolicy, 8, 3, caseLength)
	if a != b {
		t.Errorf("second run: got %+v, want %+v", b, a)
	}
}
