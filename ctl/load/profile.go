// Package load generates traffic from a profile and reports what the callers
// observed. The load is open loop: all arrivals are drawn from a seed before the run,
// and every latency counts from the drawn arrival time. A slow system therefore
// cannot improve its figures by delaying its callers (coordinated omission).
package load

import (
	"bytes"
	"math"
	"math/rand"
	"os"
	"sort"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/bundle"
)

// Profile describes a deployment's traffic.
type Profile struct {
	Name string `toml:"name"`
	// Bundle holds the classes and pools; whoever runs the profile adds customers and
	// keys.
	Bundle bundle.Bundle `toml:"bundle"`
	// Customers maps names to weights, in proportion to which calls are assigned.
	Customers map[string]float64 `toml:"customers"`
	// Streams are the arrival streams whose calls make up the traffic.
	Streams []Stream `toml:"streams"`
	Phases  []Phase  `toml:"phases"`
	Fleet   Fleet    `toml:"fleet"`
}

// Stream is an arrival stream: the calls of one class to one pool.
type Stream struct {
	Class string `toml:"class"`
	// Model or Service names the pool; exactly one is set.
	Model   string `toml:"model"`
	Service string `toml:"service"`
	// Rate is the mean arrival rate in calls per second, before the phase's factors.
	Rate float64 `toml:"rate"`
	// OutputMedian, OutputSigma and OutputMax describe the lognormal distribution of
	// output lengths, in tokens.
	OutputMedian float64 `toml:"output_median"`
	OutputSigma  float64 `toml:"output_sigma"`
	OutputMax    int     `toml:"output_max"`
	// PromptBytes is the prompt's length. Its first half is one of DistinctPrefixes
	// texts that calls share.
	PromptBytes      int `toml:"prompt_bytes"`
	DistinctPrefixes int `toml:"prompt_kinds"`
	// Keyed calls carry an idempotency key, which retries repeat.
	Keyed bool `toml:"keyed"`
}

// Phase is a part of the run with its own rates.
type Phase struct {
	Name     string          `toml:"name"`
	Duration bundle.Duration `toml:"duration"`
	// ClassFactors multiply the rates of single classes; a missing factor is 1.
	ClassFactors map[string]float64 `toml:"factors"`
	// OverallFactor multiplies every rate; 0 means 1.
	OverallFactor float64 `toml:"all"`
}

// Fleet describes the instances and fake backend servers of an experiment.
type Fleet struct {
	Zones     []string    `toml:"zones"`
	Instances int         `toml:"instances"`
	Engines   EngineFleet `toml:"engines"`
	// Services maps plain services to their number of servers.
	Services           map[string]int `toml:"services"`
	ServiceSlots       int            `toml:"service_slots"`
	ServiceDelayMillis int            `toml:"service_delay_ms"`
}

// EngineFleet describes identical fake engines; see fake.EngineConfig.
type EngineFleet struct {
	Pool                   string `toml:"pool"`
	Count                  int    `toml:"count"`
	Slots                  int    `toml:"slots"`
	StepBaseMicros         int    `toml:"step_base_us"`
	StepPerCallMicros      int    `toml:"step_per_call_us"`
	PrefillTokensPerSecond int    `toml:"prefill_tokens_per_second"`
	CachePrefixes          int    `toml:"cache_prefixes"`
	ReportLagMillis        int    `toml:"report_lag_ms"`
	CacheEventLossPercent  int    `toml:"cache_gap_percent"`
}

// LoadProfile reads and validates a TOML file; unknown keys are errors.
func LoadProfile(file string) (*Profile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read profile")
	}
	var p Profile
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return nil, eris.Wrapf(err, "profile %s", file)
	}
	return &p, p.validate()
}

func (p *Profile) validate() error {
	if len(p.Customers) == 0 || len(p.Streams) == 0 || len(p.Phases) == 0 {
		return eris.Errorf("profile %q needs customers, streams and phases", p.Name)
	}
	for _, s := range p.Streams {
		if _, ok := p.Bundle.Classes[s.Class]; !ok {
			return eris.Errorf("stream names the class %q, which the profile's bundle does not declare", s.Class)
		}
		if (s.Model == "") == (s.Service == "") {
			return eris.Errorf("stream of class %q needs either model or service", s.Class)
		}
		if s.Rate <= 0 {
			return eris.Errorf("stream of class %q needs a rate above 0", s.Class)
		}
	}
	return nil
}

// Duration returns the total length of all phases.
func (p *Profile) Duration() time.Duration {
	d := time.Duration(0)
	for _, phase := range p.Phases {
		d += phase.Duration.D()
	}
	return d
}

// Arrival is one call of a run.
type Arrival struct {
	At           time.Duration // since the start of the run
	Stream       int           // index in Profile.Streams
	Phase        int           // index in Profile.Phases
	Customer     string
	OutputTokens int
	PrefixIndex  int // which of the stream's shared prompt prefixes is used
	Index        int // position in the order of arrival
}

// Arrivals draws all calls of a run, in the order of arrival. The result depends only
// on the profile and the seed.
func (p *Profile) Arrivals(seed int64) []Arrival {
	rnd := rand.New(rand.NewSource(seed))
	var out []Arrival
	start := time.Duration(0)
	for k, ph := range p.Phases {
		for s := range p.Streams {
			out = append(out, p.drawPhase(rnd, k, s, start)...)
		}
		start += ph.Duration.D()
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].Index = i
	}
	return out
}

func (ph Phase) rateFactor(class string) float64 {
	f := 1.0
	if ph.OverallFactor > 0 {
		f = ph.OverallFactor
	}
	if x, ok := ph.ClassFactors[class]; ok {
		f *= x
	}
	return f
}

func (p *Profile) drawPhase(rnd *rand.Rand, phase, stream int, start time.Duration) []Arrival {
	st, ph := p.Streams[stream], p.Phases[phase]
	rate := st.Rate * ph.rateFactor(st.Class)
	var out []Arrival
	for t := rnd.ExpFloat64() / rate; t < ph.Duration.D().Seconds(); t += rnd.ExpFloat64() / rate {
		out = append(out, Arrival{At: start + time.Duration(t*float64(time.Second)), Stream: stream, Phase: phase,
			Customer: p.drawCustomer(rnd), OutputTokens: st.drawOutputTokens(rnd), PrefixIndex: rnd.Intn(max(1, st.DistinctPrefixes))})
	}
	return out
}

func (s Stream) drawOutputTokens(rnd *rand.Rand) int {
	if s.OutputMedian == 0 {
		return 0
	}
	n := int(s.OutputMedian * math.Exp(s.OutputSigma*rnd.NormFloat64()))
	return max(1, min(n, s.OutputMax))
}

func (p *Profile) drawCustomer(rnd *rand.Rand) string {
	names := p.CustomerNames()
	total := 0.0
	for _, name := range names {
		total += p.Customers[name]
	}
	x := rnd.Float64() * total
	for _, name := range names {
		if x -= p.Customers[name]; x < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

// CustomerNames returns the customers' names, sorted.
func (p *Profile) CustomerNames() []string {
	var names []string
	for name := range p.Customers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
