package bundle

import "time"

// Attained reports whether a completed call met all targets of its class.
func (c Class) Attained(first, total time.Duration, tokens int) bool {
	if first > c.FirstTokenTarget.D() || (c.TotalTarget > 0 && total > c.TotalTarget.D()) {
		return false
	}
	return c.PerTokenAttained(first, total, tokens)
}

// PerTokenAttained reports whether the mean time between tokens met its target. It is
// true for a call with fewer than two tokens.
func (c Class) PerTokenAttained(first, total time.Duration, tokens int) bool {
	return c.PerTokenTarget == 0 || tokens < 2 || (total-first)/time.Duration(tokens-1) <= c.PerTokenTarget.D()
}
