package balance

import "time"

const (
	// LongPromptTokens is the prompt length from which a call belongs to the long
	// side. Processing two chunks of 2,048 tokens takes longer than the event
	// interval that a chat allows.
	LongPromptTokens = 4000
	// initialMissShare is the cache miss share assumed before any call was observed.
	initialMissShare = 0.2
	// missShareWeight is the weight of one call in the moving averages of the miss
	// share and of the unshared length of long prompts.
	missShareWeight = 0.03
)

// Call describes a call to be placed.
type Call struct {
	// Tokens is the length of the prompt; zero for calls without one.
	Tokens int
	// Unshared is the number of prompt tokens that no other call shares.
	Unshared int
	// MaxOutput is the maximum number of generated tokens.
	MaxOutput int
	// TargetLatency is the configured time to the answer or, for streams, to its first event;
	// zero if none is configured.
	TargetLatency time.Duration
	// TargetGap is the configured target for the longest event interval, the time between
	// two events of a stream; zero if none is configured.
	TargetGap time.Duration
	// Tier is the tier of the call's route; 0 is the most urgent.
	Tier int
	// AffinityKey is the ID of the longest shared prefix, or "" if there is none. It
	// determines the home server.
	AffinityKey string
	// Prefixes lists the shared prefixes from the shortest to that of AffinityKey. If
	// empty, all shared tokens belong to AffinityKey.
	Prefixes []Prefix
	// SkipLimited excludes servers with a request limit, because calls with precedence
	// are waiting for them.
	SkipLimited bool
}

// Prefix is a prefix of a prompt that other calls share.
type Prefix struct {
	ID string
	// Tokens is the number of tokens after the next shorter shared prefix.
	Tokens int
}

// prefixes returns the call's shared prefixes.
func (c *Call) prefixes() []Prefix {
	if len(c.Prefixes) == 0 && c.AffinityKey != "" {
		return []Prefix{{c.AffinityKey, c.shared()}}
	}
	return c.Prefixes
}

// Conditions for placing short calls on the long side.
const (
	// assumedLongTokens is the length of the long prompt that such a call may have to
	// wait for.
	assumedLongTokens = 3 * LongPromptTokens
	// maxLongWaitShare is the maximum fraction of the call's target that this wait may
	// take.
	maxLongWaitShare = 0.45
)

// usesLongSide reports whether the call belongs to the long side: long prompts, and
// short calls that tolerate them. The latter allow a longer event interval than a
// prefill chunk takes, and their target leaves time for a long prompt to be processed
// first. This keeps their own prefill away from chats, which occupy their slots for
// longer the more prefill runs next to them.
func (c *Call) usesLongSide(s *speed) bool {
	if c.Tokens >= LongPromptTokens {
		return true
	}
	return c.TargetGap > 0 && !c.latencySensitive() && s.prefillTime(assumedLongTokens).Seconds() <= maxLongWaitShare*c.targetLatency().Seconds()
}

// filterBySide restricts a long prompt to servers on the long side, if there are any:
// on the other side it would delay every chat of its engine.
func (c *Call) filterBySide(list []*server) []*server {
	if c.Tokens < LongPromptTokens {
		return list
	}
	var long []*server
	for _, s := range list {
		if s.long {
			long = append(long, s)
		}
	}
	if len(long) == 0 {
		return list
	}
	return long
}

func (c *Call) targetLatency() time.Duration {
	if c.TargetLatency <= 0 {
		return defaultTarget
	}
	return c.TargetLatency
}

// pendingPromptTokens estimates how many tokens an engine has to process for the call,
// given the cache miss share of shared prefixes.
func (c *Call) pendingPromptTokens(missShare float64) float64 {
	if !c.tracksCache() {
		return float64(c.Unshared)
	}
	return float64(c.Unshared) + missShare*float64(c.shared())
}

// observeMissShare updates the moving average with the miss share of one call.
func (p *pool) observeMissShare(share float64) {
	p.missShare += missShareWeight * (share - p.missShare)
}

// maxLatencySensitiveGap is the target up to which a stream becomes late on an engine that
// processes prompts continuously: five tokens per event, each after a chunk of 2,048
// tokens, take a quarter of a second on a slow engine.
const maxLatencySensitiveGap = 250 * time.Millisecond

func (c *Call) latencySensitive() bool {
	return c.TargetGap > 0 && c.TargetGap <= maxLatencySensitiveGap
}

// load returns the load that the call adds to its server.
func (c *Call) load() Load {
	l := Load{Running: 1, PendingPromptTokens: c.Unshared, KVTokens: c.kvTokens()}
	if c.latencySensitive() {
		l.LatencySensitive = 1
	}
	if c.Tokens >= LongPromptTokens {
		l.LongPrompts = 1
	}
	return l
}

// kvTokens returns the maximum number of tokens that the call occupies in its engine's KV
// cache, not counting shared prefixes.
func (c *Call) kvTokens() int { return c.Unshared + c.MaxOutput }
