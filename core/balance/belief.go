package balance

import (
	"time"

	"cardamomwick.example/core/ratelimit"
)

// Belief is what placement holds of one server, for logs and metrics.
type Belief struct {
	ID string `json:"id"`
	// Long: the server takes long prompts.
	Long bool `json:"long"`
	// Slowness is its time per event against the middle one of its pool.
	Slowness float64 `json:"slowness"`
	// Failures is the share of calls that failed lately.
	Failures float64 `json:"failures"`
	Load     Load    `json:"load"`
	// Limit is the request rate that the server asks for, since a time; LimitRate is this
	// instance's part of it, LimitSent counts this instance's requests since then.
	Limit      ratelimit.Limit `json:"limit"`
	LimitSince time.Time       `json:"limit_since"`
	LimitRate  float64         `json:"limit_rate"`
	LimitSent  int             `json:"limit_sent"`
}

// Beliefs lists what is held of a pool's servers.
func (b *Balancer) Beliefs(now time.Time, poolName string) []Belief {
	p := b.pool(poolName)
	rate := b.limitRates(now, poolName)
	out := make([]Belief, 0, len(p.servers))
	for _, s := range p.servers {
		x := Belief{ID: s.ID, Long: s.long, Slowness: s.slowness, Failures: s.health.failures, Load: s.load()}
		if s.limit.Limited {
			x.Limit, x.LimitSince, x.LimitRate, x.LimitSent = s.limit.Limit, s.limit.Since, rate(s), s.limit.sent
		}
		out = append(out, x)
	}
	return out
}
