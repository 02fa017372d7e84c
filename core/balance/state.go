package balance

import (
	"time"

	"cardamomwick.example/core/ratelimit"
)

// ServerState is the balancer's state of one server, for logs and metrics.
type ServerState struct {
	ID string `json:"id"`
	// Long is set if the server is on the long side.
	Long bool `json:"long"`
	// Slowness is the ratio of the server's event interval to the median of its pool.
	Slowness float64 `json:"slowness"`
	// Failures is the decaying share of failed calls.
	Failures float64 `json:"failures"`
	Load     Load    `json:"load"`
	// Limit is the request rate the server has announced, and LimitSince when it did
	// so. LimitRate is this instance's share of it; LimitSent counts this instance's
	// requests since then.
	Limit      ratelimit.Limit `json:"limit"`
	LimitSince time.Time       `json:"limit_since"`
	LimitRate  float64         `json:"limit_rate"`
	LimitSent  int             `json:"limit_sent"`
}

// ServerStates returns the state of each server of a pool.
func (b *Balancer) ServerStates(now time.Time, poolName string) []ServerState {
	p := b.pool(poolName)
	rate := b.limitRates(now, poolName)
	out := make([]ServerState, 0, len(p.servers))
	for _, s := range p.servers {
		x := ServerState{ID: s.ID, Long: s.long, Slowness: s.slowness, Failures: s.health.failures, Load: s.load()}
		if s.limit.Limited {
			x.Limit, x.LimitSince, x.LimitRate, x.LimitSent = s.limit.Limit, s.limit.Since, rate(s), s.limit.sent
		}
		out = append(out, x)
	}
	return out
}
