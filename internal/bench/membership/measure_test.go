package membership

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// BenchmarkReport prints the tables of the capacity page. The variable REPORT_MEMBERS sets
// the largest fleet size; 3,500 members need about 6 GB of memory.
func BenchmarkReport(b *testing.B) {
	largest, _ := strconv.Atoi(os.Getenv("REPORT_MEMBERS"))
	sizes := []int{100}
	for _, size := range []int{1000, 3500} {
		if size <= largest {
			sizes = append(sizes, size)
		}
	}
	costs := []Cost{{Size: 100, Upstreams: 43, Keys: 10_000}}
	if largest > 0 {
		costs = append(costs,
			Cost{Size: 1000, Upstreams: 43, Keys: 10_000}, Cost{Size: 1000, Upstreams: 43, Keys: 80_000},
			Cost{Size: 3500, Upstreams: 43, Keys: 10_000}, Cost{Size: 3500, Upstreams: 43, Keys: 280_000})
	}
	for b.Loop() {
		if err := Report(os.Stdout, sizes, costs, 60*time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against costs beyond the targets of section 1.3 of the design: a fleet of 100
// members must stay below 3 KB per second and daemon, and a rumor must reach all members
// within 3 s.
func TestMeasures(t *testing.T) {
	if c := MeasureCost(100, 43, 1000, 20*time.Second); c.BytesPerSecond > 3000 || c.HeapBytes > 32e6 {
		t.Errorf("got %+v, want at most 3 KB a second and 32 MB", c)
	}
	if s := MeasureDissemination(100, 4); !s.ReachedAll || s.RoundsAll > 60 {
		t.Errorf("got %+v, want all reached within the 60 rounds in 3 s", s)
	}
	if d := MeasureDetection(50, 4, 2, Faults{}); d.Detected != 2 || d.FalseSuspicions != 0 {
		t.Errorf("got %+v, want both detected and no others", d)
	}
	if c := MeasureConvergence("", 50, 4, Faults{Loss: 0.2, Cut: CutZoneOneWay(4)}); !c.Complete {
		t.Errorf("got %+v, want all changes everywhere", c)
	}
}
