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

// ClassReport sums up the calls of one class that arrived in one phase.
type ClassReport struct {
	Phase string `json:"phase"`
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	Calls int    `json:"calls"`
	// Attained is the share of calls that met all targets of the class,
	// FirstTokenAttained and PerTokenAttained of those that met one of them, and
	// Completed of those that were answered without an error.
	Attained           float64 `json:"attained"`
	FirstTokenAttained float64 `json:"first_token_attained"`
	PerTokenAttained   float64 `json:"per_token_attained"`
	Completed          float64 `json:"completed"`
	// ShedCalls counts calls that the system rejected without running them, NoAnswer
	// those without any final answer.
	ShedCalls           int            `json:"shed"`
	NoAnswer            int            `json:"no_answer"`
	WrongAnswers        int            `json:"wrong_answers"`
	Outcomes            map[string]int `json:"outcomes"`
	FirstTokenP50Millis int64          `json:"first_token_p50_ms"`
	FirstTokenP95Millis int64          `json:"first_token_p95_ms"`
	FirstTokenP99Millis int64          `json:"first_token_p99_ms"`
	TotalP95Millis      int64          `json:"total_p95_ms"`
	// LongestGapSeconds is the longest time between two completed calls.
	LongestGapSeconds float64 `json:"longest_gap_s"`
}

// Report sums up a run.
type Report struct {
	Profile string        `json:"profile"`
	Label   string        `json:"label"`
	Classes []ClassReport `json:"classes"`
	Phases  []PhaseReport `json:"phases"`
	// GeneratedTokens counts the tokens that the engines generated, UsefulTokens those
	// received in completed answers, and AbandonedTokens those received in other calls,
	// such as calls whose deadline expired or whose caller left. WastedShare is the share
	// of generated tokens that were not useful. RouterWastedShare leaves out the abandoned
	// tokens too, since the router did not cause them.
	GeneratedTokens   int64   `json:"generated_tokens"`
	UsefulTokens      int64   `json:"useful_tokens"`
	AbandonedTokens   int64   `json:"abandoned_tokens"`
	WastedShare       float64 `json:"wasted_share"`
	RouterWastedShare float64 `json:"router_wasted_share"`
}

// PhaseReport sums up the calls that arrived in one phase.
type PhaseReport struct {
	Phase string `json:"phase"`
	// Goodput is the rate of tokens of calls that met all their targets,
	// AttainedCalls the rate of those calls.
	Goodput       float64 `json:"goodput_tokens_per_second"`
	AttainedCalls float64 `json:"attained_calls_per_second"`
	// BoundGoodput and BoundCalls are upper bounds of both; see AddUpperBounds.
	BoundGoodput float64 `json:"bound_tokens_per_second"`
	BoundCalls   float64 `json:"bound_calls_per_second"`
}

// histogramMaxMicros is the highest latency that histograms distinguish: one hour.
const histogramMaxMicros = int64(time.Hour / time.Microsecond)

// NewReport sums up the samples of a run. SetGeneratedTokens and AddUpperBounds fill in the
// rest.
func NewReport(p *Profile, label string, samples []Sample) *Report {
	r := &Report{Profile: p.Name, Label: label}
	for k, ph := range p.Phases {
		tokens, calls := 0, 0
		for _, s := range samples {
			if s.Arrival.Phase == k && s.Attained {
				tokens += s.Result.Tokens
				calls++
			}
		}
		seconds := ph.Duration.D().Seconds()
		r.Phases = append(r.Phases, PhaseReport{Phase: ph.Name, Goodput: float64(tokens) / seconds, AttainedCalls: float64(calls) / seconds})
		for _, st := range p.Streams {
			r.Classes = append(r.Classes, newClassReport(p, k, st.Class, samples))
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

// SetGeneratedTokens adds the engines' count of generated tokens and the shares that
// depend on it.
func (r *Report) SetGeneratedTokens(tokens int64) {
	r.GeneratedTokens = tokens
	if tokens > 0 {
		r.WastedShare = float64(tokens-r.UsefulTokens) / float64(tokens)
		r.RouterWastedShare = float64(tokens-r.UsefulTokens-r.AbandonedTokens) / float64(tokens)
	}
}

// newClassReport counts latencies of answered calls only, but shares of all calls.
func newClassReport(p *Profile, phase int, class string, samples []Sample) ClassReport {
	policy := p.Bundle.Classes[class]
	c := ClassReport{Phase: p.Phases[phase].Name, Class: class, Tier: policy.Tier, Outcomes: map[string]int{}}
	first, total := hdrhistogram.New(1, histogramMaxMicros, 3), hdrhistogram.New(1, histogramMaxMicros, 3)
	var completionTimes []time.Duration
	attained, firstTokenOK, perTokenOK, completed := 0, 0, 0, 0
	for i := range samples {
		s := &samples[i]
		if s.Arrival.Phase != phase || s.Class != class {
			continue
		}
		c.Calls++
		countResult(&c, s)
		if s.Result.Transport != nil || s.Result.Error != nil {
			continue
		}
		completed++
		completionTimes = append(completionTimes, s.Arrival.At+s.Total)
		_ = first.RecordValue(min(histogramMaxMicros, s.FirstToken.Microseconds()))
		_ = total.RecordValue(min(histogramMaxMicros, s.Total.Microseconds()))
		attained += boolToInt(s.Attained)
		firstTokenOK += boolToInt(s.FirstToken <= policy.FirstTokenTarget.D())
		perTokenOK += boolToInt(policy.PerTokenAttained(s.FirstToken, s.Total, s.Result.Tokens))
	}
	share := func(n int) float64 { return float64(n) / float64(max(1, c.Calls)) }
	c.Attained, c.FirstTokenAttained, c.PerTokenAttained, c.Completed = share(attained), share(firstTokenOK), share(perTokenOK), share(completed)
	c.FirstTokenP50Millis, c.FirstTokenP95Millis, c.FirstTokenP99Millis = first.ValueAtQuantile(50)/1000, first.ValueAtQuantile(95)/1000, first.ValueAtQuantile(99)/1000
	c.TotalP95Millis = total.ValueAtQuantile(95) / 1000
	c.LongestGapSeconds = longestGap(completionTimes).Seconds()
	return c
}

func countResult(c *ClassReport, s *Sample) {
	switch {
	case s.Result.Transport != nil:
		c.NoAnswer++
		c.Outcomes["no answer"]++
		return
	case s.Shed():
		c.ShedCalls++
	case s.Result.Error == nil && !s.Result.Correct:
		c.WrongAnswers++
	}
	c.Outcomes[string(s.Result.Outcome)]++
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// longestGap sorts the times and returns the longest interval between two of them.
func longestGap(completionTimes []time.Duration) time.Duration {
	sort.Slice(completionTimes, func(i, j int) bool { return completionTimes[i] < completionTimes[j] })
	gap := time.Duration(0)
	for i := 1; i < len(completionTimes); i++ {
		gap = max(gap, completionTimes[i]-completionTimes[i-1])
	}
	return gap
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s %s\t\t\t\t\t\t\t\t\t\t\t\t\n", r.Profile, r.Label)
	fmt.Fprintln(w, "phase\tclass\ttier\tcalls\tattained\tfirst\tper token\tcompleted\tshed\tno answer\tfirst p50 ms\tp95\tp99\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t\n", c.Phase, c.Class, c.Tier, c.Calls, c.Attained, c.FirstTokenAttained, c.PerTokenAttained, c.Completed,
			c.ShedCalls, c.NoAnswer, c.FirstTokenP50Millis, c.FirstTokenP95Millis, c.FirstTokenP99Millis)
	}
	w.Flush()
	for _, p := range r.Phases {
		fmt.Fprintf(out, "%s: goodput %.0f tokens/s, %.1f attained calls/s", p.Phase, p.Goodput, p.AttainedCalls)
		if p.BoundGoodput > 0 {
			fmt.Fprintf(out, "; %.2f of the clairvoyant bound's tokens, %.2f of its calls", p.Goodput/p.BoundGoodput, p.AttainedCalls/p.BoundCalls)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "tokens generated %d, useful %d, wasted %.4f, of that by the router %.4f\n", r.GeneratedTokens, r.UsefulTokens, r.WastedShare, r.RouterWastedShare)
}

// WriteJSONLines writes one JSON line per class and phase, then one with the whole
// report.
func (r *Report) WriteJSONLines(out io.Writer) error {
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
