package load

import (
	"math"
	"os"
	"reflect"
	"testing"
	"time"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
)

func TestSamplesAreGood(t *testing.T) {
	for _, name := range []string{"nurlight", "kaitiaki"} {
		if _, err := LoadProfile("../../samples/" + name + "-load.toml"); err != nil {
			t.Error(err)
		}
		data, err := os.ReadFile("../../samples/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundle.ParseTOML(data); err != nil {
			t.Errorf("%s.toml: %v", name, err)
		}
	}
}

// TestArrivals: equal seeds draw equal calls, at about the declared rates.
func TestArrivals(t *testing.T) {
	p, err := LoadProfile("../../samples/nurlight-load.toml")
	if err != nil {
		t.Fatal(err)
	}
	a, b := p.Arrivals(3), p.Arrivals(3)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, p.Arrivals(4)) {
		t.Fatal("the seed does not decide the arrivals")
	}
	want := 0.0
	for _, ph := range p.Phases {
		for _, s := range p.Streams {
			want += s.Rate * ph.factor(s.Class) * ph.Duration.D().Seconds()
		}
	}
	if got := float64(len(a)); math.Abs(got-want) > 0.05*want {
		t.Fatalf("%v arrivals, want about %v", got, want)
	}
}

// TestReportCounts: what callers saw is counted as it was, and the bound is
// never below a run in which everything was attained.
func TestReportCounts(t *testing.T) {
	p, err := LoadProfile("../../samples/nurlight-load.toml")
	if err != nil {
		t.Fatal(err)
	}
	p.Phases = p.Phases[:1]
	arrivals := p.Arrivals(1)
	var samples []Sample
	for _, a := range arrivals {
		r := &caller.Result{Outcome: state.OutcomeCompleted, Tokens: a.Output, Correct: true}
		samples = append(samples, Sample{Arrival: a, Class: p.Streams[a.Stream].Class, Result: r, FirstToken: time.Millisecond, Total: 2 * time.Millisecond, Attained: true})
	}
	samples[0].Result.Correct, samples[0].Attained = false, false
	r := NewReport(p, "x", samples)
	r.SetGenerated(2 * r.UsefulTokens)
	p.Bound(arrivals, r)
	calls, wrong := 0, 0
	for _, c := range r.Classes {
		calls += c.Calls
		wrong += c.Wrong
	}
	if calls != len(arrivals) || wrong != 1 || r.WastedShare != 0.5 {
		t.Fatalf("%d calls of %d, %d wrong, wasted %v", calls, len(arrivals), wrong, r.WastedShare)
	}
	if ph := r.Phases[0]; ph.BoundCalls < ph.AttainedCalls*0.99 {
		t.Fatalf("the bound of a quiet phase is %v calls/s, below %v", ph.BoundCalls, ph.AttainedCalls)
	}
}
