// Package load drives traffic as applications do, from a profile, and reports
// what the callers saw. Arrivals are open loop and drawn before the run from a
// seed; every latency counts from the drawn arrival, so that a slow system
// can't hide by slowing its callers down.
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
	// Bundle holds the classes and pools; customers and keys are filled in.
	Bundle bundle.Bundle `toml:"bundle"`
	// Customers are names with their part of the calls.
	Customers map[string]float64 `toml:"customers"`
	Streams   []Stream           `toml:"streams"`
	Phases    []Phase            `toml:"phases"`
	Fleet     Fleet              `toml:"fleet"`
}

// Stream is the arrivals of one class.
type Stream struct {
	Class string `toml:"class"`
	// Model or Service names the pool.
	Model   string `toml:"model"`
	Service string `toml:"service"`
	// Rate is calls per second in a phase with factor 1.
	Rate float64 `toml:"rate"`
	// OutputMedian, OutputSigma and OutputMax give a lognormal length in tokens.
	OutputMedian float64 `toml:"output_median"`
	OutputSigma  float64 `toml:"output_sigma"`
	OutputMax    int     `toml:"output_max"`
	// PromptBytes is the prompt's length; PromptKinds is how many different
	// beginnings there are, half of the prompt long.
	PromptBytes int `toml:"prompt_bytes"`
	PromptKinds int `toml:"prompt_kinds"`
	// Keyed calls carry an idempotency key and are repeated with it when the
	// answer is lost.
	Keyed bool `toml:"keyed"`
}

// Phase is a stretch of time with its own rates.
type Phase struct {
	Name     string          `toml:"name"`
	Duration bundle.Duration `toml:"duration"`
	// Factors multiply the rates of classes; 1 where absent.
	Factors map[string]float64 `toml:"factors"`
	// All multiplies every rate; 0 counts as 1.
	All float64 `toml:"all"`
}

// Fleet is the stand-ins that the experiments run.
type Fleet struct {
	Zones     []string    `toml:"zones"`
	Instances int         `toml:"instances"`
	Engines   EngineFleet `toml:"engines"`
	// Services maps plain services to the number of their servers.
	Services     map[string]int `toml:"services"`
	ServiceSlots int            `toml:"service_slots"`
	ServiceDelay int            `toml:"service_delay_ms"`
}

// EngineFleet is a number of alike engines.
type EngineFleet struct {
	Pool              string `toml:"pool"`
	Count             int    `toml:"count"`
	Slots             int    `toml:"slots"`
	StepBaseMicros    int    `toml:"step_base_us"`
	StepPerCallMicros int    `toml:"step_per_call_us"`
	PrefillPerSecond  int    `toml:"prefill_tokens_per_second"`
	CachePrefixes     int    `toml:"cache_prefixes"`
	ReportLagMillis   int    `toml:"report_lag_ms"`
	CacheGapPercent   int    `toml:"cache_gap_percent"`
}

// LoadProfile reads a TOML file; unknown keys are errors.
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
	return &p, p.check()
}

func (p *Profile) check() error {
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

// Duration returns the length of all phases.
func (p *Profile) Duration() time.Duration {
	d := time.Duration(0)
	for _, x := range p.Phases {
		d += x.Duration.D()
	}
	return d
}

// Arrival is one drawn call.
type Arrival struct {
	At       time.Duration
	Stream   int
	Phase    int
	Customer string
	Output   int
	Kind     int
	Number   int
}

// Arrivals draws all calls of a run; equal seeds draw equal calls.
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
		out[i].Number = i
	}
	return out
}

func (ph Phase) factor(class string) float64 {
	f := 1.0
	if ph.All > 0 {
		f = ph.All
	}
	if x, ok := ph.Factors[class]; ok {
		f *= x
	}
	return f
}

func (p *Profile) drawPhase(rnd *rand.Rand, phase, stream int, start time.Duration) []Arrival {
	st, ph := p.Streams[stream], p.Phases[phase]
	rate := st.Rate * ph.factor(st.Class)
	var out []Arrival
	for t := rnd.ExpFloat64() / rate; t < ph.Duration.D().Seconds(); t += rnd.ExpFloat64() / rate {
		out = append(out, Arrival{At: start + time.Duration(t*float64(time.Second)), Stream: stream, Phase: phase,
			Customer: p.drawCustomer(rnd), Output: st.drawOutput(rnd), Kind: rnd.Intn(max(1, st.PromptKinds))})
	}
	return out
}

func (s Stream) drawOutput(rnd *rand.Rand) int {
	if s.OutputMedian == 0 {
		return 0
	}
	n := int(s.OutputMedian * math.Exp(s.OutputSigma*rnd.NormFloat64()))
	return max(1, min(n, s.OutputMax))
}

func (p *Profile) drawCustomer(rnd *rand.Rand) string {
	names := p.CustomerNames()
	total := 0.0
	for _, n := range names {
		total += p.Customers[n]
	}
	x := rnd.Float64() * total
	for _, n := range names {
		if x -= p.Customers[n]; x < 0 {
			return n
		}
	}
	return names[len(names)-1]
}

// CustomerNames lists the customers, sorted.
func (p *Profile) CustomerNames() []string {
	var names []string
	for n := range p.Customers {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
