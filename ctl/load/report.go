package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamomwick.example/core/state"
)

// ClassReport is what callers of one class saw in one phase.
type ClassReport struct {
	Phase string `json:"phase"`
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	Calls int    `json:"calls"`
	// Shares of all calls.
	Attained   float64 `json:"attained"`
	FirstToken float64 `json:"first_token_attained"`
	PerToken   float64 `json:"per_token_attained"`
	Completed  float64 `json:"completed"`
	// ShedCalls were answered not_run; NoAnswer got no final answer at all.
	ShedCalls int            `json:"shed"`
	NoAnswer  int            `json:"no_answer"`
	Wrong     int            `json:"wrong_answers"`
	Outcomes  map[string]int `json:"outcomes"`
	// Milliseconds.
	FirstP50 int64 `json:"first_token_p50_ms"`
	FirstP95 int64 `json:"first_token_p95_ms"`
	FirstP99 int64 `json:"first_token_p99_ms"`
	TotalP95 int64 `json:"total_p95_ms"`
	// LongestGap is the longest time without a completed call, in seconds.
	LongestGap float64 `json:"longest_gap_s"`
}

// Report is a run's result.
type Report struct {
	Profile string        `json:"profile"`
	Label   string        `json:"label"`
	Classes []ClassReport `json:"classes"`
	Phases  []PhaseReport `json:"phases"`
	// GeneratedTokens were generated at the engines, UsefulTokens came to
	// callers in completed answers, AbandonedTokens belong to calls whose
	// deadline or caller was gone. Wasted is the rest of the generated.
	GeneratedTokens int64   `json:"generated_tokens"`
	UsefulTokens    int64   `json:"useful_tokens"`
	AbandonedTokens int64   `json:"abandoned_tokens"`
	WastedShare     float64 `json:"wasted_share"`
	RouterWaste     float64 `json:"router_wasted_share"`
}

// PhaseReport sums a phase up.
type PhaseReport struct {
	Phase string `json:"phase"`
	// Goodput is tokens per second of calls that met all their targets, by
	// arrival in the phase; AttainedCalls is those calls per second.
	Goodput       float64 `json:"goodput_tokens_per_second"`
	AttainedCalls float64 `json:"attained_calls_per_second"`
	// BoundGoodput and BoundCalls are the clairvoyant queue's.
	BoundGoodput float64 `json:"bound_tokens_per_second"`
	BoundCalls   float64 `json:"bound_calls_per_second"`
}

// histogramMax is an hour in microseconds.
const histogramMax = int64(time.Hour / time.Microsecond)

// NewReport sums samples up.
func NewReport(p *Profile, label string, samples []Sample) *Report {
	r := &Report{Profile: p.Name, Label: label}
	for k, ph := range p.Phases {
		good, calls := 0, 0
		for _, s := range samples {
			if s.Arrival.Phase == k && s.Attained {
				good += s.Result.Tokens
				calls++
			}
		}
		seconds := ph.Duration.D().Seconds()
		r.Phases = append(r.Phases, PhaseReport{Phase: ph.Name, Goodput: float64(good) / seconds, AttainedCalls: float64(calls) / seconds})
		for _, st := range p.Streams {
			r.Classes = append(r.Classes, classReport(p, k, st.Class, samples))
		}
	}
	for _, s := range samples {
		if s.Result.Outcome == state.OutcomeCompleted {
			r.UsefulTokens += int64(s.Result.Tokens)
			continue
		}
		r.AbandonedTokens += int64(s.Result.Tokens)
	}
	return r
}

// SetGenerated completes the report with the engines' count.
func (r *Report) SetGenerated(tokens int64) {
	r.GeneratedTokens = tokens
	if tokens > 0 {
		r.WastedShare = float64(tokens-r.UsefulTokens) / float64(tokens)
		r.RouterWaste = float64(tokens-r.UsefulTokens-r.AbandonedTokens) / float64(tokens)
	}
}

func classReport(p *Profile, phase int, class string, samples []Sample) ClassReport {
	policy := p.Bundle.Classes[class]
	c := ClassReport{Phase: p.Phases[phase].Name, Class: class, Tier: policy.Tier, Outcomes: map[string]int{}}
	first, total := hdrhistogram.New(1, histogramMax, 3), hdrhistogram.New(1, histogramMax, 3)
	var ends []time.Duration
	attained, firstOK, perOK, completed := 0, 0, 0, 0
	for i := range samples {
		s := &samples[i]
		if s.Arrival.Phase != phase || s.Class != class {
			continue
		}
		c.Calls++
		count(&c, s)
		if s.Result.Transport != nil || s.Result.Error != nil {
			continue
		}
		completed++
		ends = append(ends, s.Arrival.At+s.Total)
		_ = first.RecordValue(min(histogramMax, s.FirstToken.Microseconds()))
		_ = total.RecordValue(min(histogramMax, s.Total.Microseconds()))
		attained += one(s.Attained)
		firstOK += one(s.FirstToken <= policy.FirstTokenTarget.D())
		perOK += one(policy.PerTokenAttained(s.FirstToken, s.Total, s.Result.Tokens))
	}
	share := func(n int) float64 { return float64(n) / float64(max(1, c.Calls)) }
	c.Attained, c.FirstToken, c.PerToken, c.Completed = share(attained), share(firstOK), share(perOK), share(completed)
	c.FirstP50, c.FirstP95, c.FirstP99 = first.ValueAtQuantile(50)/1000, first.ValueAtQuantile(95)/1000, first.ValueAtQuantile(99)/1000
	c.TotalP95 = total.ValueAtQuantile(95) / 1000
	c.LongestGap = longestGap(ends).Seconds()
	return c
}

func count(c *ClassReport, s *Sample) {
	switch {
	case s.Result.Transport != nil:
		c.NoAnswer++
		c.Outcomes["no answer"]++
		return
	case s.Shed():
		c.ShedCalls++
	case s.Result.Error == nil && !s.Result.Correct:
		c.Wrong++
	}
	c.Outcomes[string(s.Result.Outcome)]++
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

func longestGap(ends []time.Duration) time.Duration {
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	gap := time.Duration(0)
	for i := 1; i < len(ends); i++ {
		gap = max(gap, ends[i]-ends[i-1])
	}
	return gap
}

// Table prints the report for people.
func (r *Report) Table(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s %s\t\t\t\t\t\t\t\t\t\t\t\t\n", r.Profile, r.Label)
	fmt.Fprintln(w, "phase\tclass\ttier\tcalls\tattained\tfirst\tper token\tcompleted\tshed\tno answer\tfirst p50 ms\tp95\tp99\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t\n", c.Phase, c.Class, c.Tier, c.Calls, c.Attained, c.FirstToken, c.PerToken, c.Completed,
			c.ShedCalls, c.NoAnswer, c.FirstP50, c.FirstP95, c.FirstP99)
	}
	w.Flush()
	for _, p := range r.Phases {
		fmt.Fprintf(out, "%s: goodput %.0f tokens/s, %.1f attained calls/s", p.Phase, p.Goodput, p.AttainedCalls)
		if p.BoundGoodput > 0 {
			fmt.Fprintf(out, "; %.2f of the clairvoyant bound's tokens, %.2f of its calls", p.Goodput/p.BoundGoodput, p.AttainedCalls/p.BoundCalls)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "tokens generated %d, useful %d, wasted %.4f, of that by the router %.4f\n", r.GeneratedTokens, r.UsefulTokens, r.WastedShare, r.RouterWaste)
}

// JSONLines writes one line per class and phase and one for the whole.
func (r *Report) JSONLines(out io.Writer) error {
	enc := json.NewEncoder(out)
	type line struct {
		Profile string `json:"profile"`
		Label   string `json:"label"`
		ClassReport
	}
	for _, c := range r.Classes {
		if err := enc.Encode(line{r.Profile, r.Label, c}); err != nil {
			return err
		}
	}
	return enc.Encode(r)
}
