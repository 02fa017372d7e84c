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

func TestSampleFilesAreValid(t *testing.T) {
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

// Equal seeds must give equal arrivals, different seeds different ones, and the
// number of arrivals must be close to the sum of the declared rates.
func TestArrivalsAreDeterministic(t *testing.T) {
	p, err := LoadProfile("../../samples/nurlight-load.toml")
	if err != nil {
		t.Fatal(err)
	}
	a, b := p.Arrivals(3), p.Arrivals(3)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, p.Arrivals(4)) {
		t.Fatal("arrivals differ for equal seeds or are equal for different seeds")
	}
	want := 0.0
	for _, ph := range p.Phases {
		for _, s := range p.Streams {
			want += s.Rate * ph.rateFactor(s.Class) * ph.Duration.D().Seconds()
		}
	}
	if got := float64(len(a)); math.Abs(got-want) > 0.05*want {
		t.Fatalf("got %v arrivals, want %v within 5 %%", got, want)
	}
}

// The report must count every call, wrong answer and wasted token, and the upper
// bound must not be below a run in which almost every call met its targets.
func TestReportAndUpperBounds(t *testing.T) {
	p, err := LoadProfile("../../samples/nurlight-load.toml")
	if err != nil {
		t.Fatal(err)
	}
	p.Phases = p.Phases[:1]
	arrivals := p.Arrivals(1)
	var samples []Sample
	for _, a := range arrivals {
		r := &caller.Result{Outcome: state.OutcomeCompleted, Tokens: a.OutputTokens, Correct: true}
		samples = append(samples, Sample{Arrival: a, Class: p.Streams[a.Stream].Class, Result: r, FirstToken: time.Millisecond, Total: 2 * time.Millisecond, Attained: true})
	}
	samples[0].Result.Correct, samples[0].Attained = false, false
	r := NewReport(p, "x", samples)
	r.SetGeneratedTokens(2 * r.UsefulTokens)
	p.AddUpperBounds(arrivals, r)
	calls, wrong := 0, 0
	for _, c := range r.Classes {
		calls += c.Calls
		wrong += c.WrongAnswers
	}
	if calls != len(arrivals) || wrong != 1 || r.WastedShare != 0.5 {
		t.Fatalf("got %d calls, %d wrong, wasted share %v; want %d, 1 and 0.5", calls, wrong, r.WastedShare, len(arrivals))
	}
	if ph := r.Phases[0]; ph.BoundCalls < ph.AttainedCalls*0.99 {
		t.Fatalf("upper bound is %v calls/s, below the attained %v calls/s", ph.BoundCalls, ph.AttainedCalls)
	}
}
