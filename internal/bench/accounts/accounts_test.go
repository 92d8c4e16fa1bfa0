package accounts

import "testing"

// TestNoneRefusedInsideRate guards against refusals of requests inside the rate
// while the service has capacity for them: because of another client account
// at ten times its rate, of a faulty upstream, or of where requests arrive.
func TestNoneRefusedInsideRate(t *testing.T) {
	t.Parallel()
	for _, d := range deployments() {
		for _, s := range []scenario{
			{name: "10× tenant", load: 0.5, greedy: true},
			{name: "10× tenant, one upstream cuts half", load: 0.5, greedy: true, cut: 0.5},
			{name: "load 90%", load: 0.9},
			{name: "half of the upstreams restart", load: 0.5, restart: true},
			{name: "an account at one ingress", load: 0.5, skewed: true},
		} {
			t.Run(d.Name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				r := play(d, s, thisPolicy, 1)
				for i, a := range r.accounts {
					if a.refused != 0 {
						t.Errorf("account %d: got %d of %d refused, want 0", i, a.refused, a.offered)
					}
				}
				if got := r.total().offered; got < 1000 {
					t.Errorf("requests: got %d, want traffic", got)
				}
			})
		}
	}
}

// TestDeterminism guards comparisons between policies: the same seed plays the
// same run.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	a := play(deployments()[1], scenarios()[0], thisPolicy, 2).total()
	b := play(deployments()[1], scenarios()[0], thisPolicy, 2).total()
	if a.offered != b.offered || a.refused != b.refused || a.p99() != b.p99() {
		t.Errorf("second run: got %d, %d, %v, want %d, %d, %v",
			b.offered, b.refused, b.p99(), a.offered, a.refused, a.p99())
	}
}

// TestOverloadKeepsCapacity guards against slots lost to requests that time out
// while they run: at 110% the service can answer 1/1.1 of the requests in time.
func TestOverloadKeepsCapacity(t *testing.T) {
	t.Parallel()
	for _, d := range deployments() {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			r := play(d, scenario{load: 1.1}, thisPolicy, 1)
			if got, want := r.total().share(), 1/1.1; got < want {
				t.Errorf("answered in time: got %.4f, want at least %.4f", got, want)
			}
		})
	}
}
