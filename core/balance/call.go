package balance

import "time"

const (
	// LongPromptTokens is the prompt length from which a call belongs to the long
	// side. Processing two chunks of 2,048 tokens takes longer than the gap that a
	// chat allows between two events.
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
	// Target is the configured time to the answer or, for streams, to its first event;
	// zero if none is configured.
	Target time.Duration
	// Gap is the configured maximum time between two events; zero if none is
	// configured.
	Gap time.Duration
	// Tier is the tier of the call's route; 0 is the most urgent.
	Tier int
	// AffinityKey is the ID of the last shared part, or "" if there is none. It
	// determines the home server.
	AffinityKey string
	// Chain lists the shared parts in prompt order, ending with AffinityKey. If empty,
	// all shared tokens belong to AffinityKey.
	Chain []Part
	// SkipLimited excludes servers with a request limit, because calls with precedence
	// are waiting for them.
	SkipLimited bool
}

// Part is a section of a prompt that other calls share.
type Part struct {
	ID     string
	Tokens int
}

// chain returns the call's shared parts.
func (c *Call) chain() []Part {
	if len(c.Chain) == 0 && c.AffinityKey != "" {
		return []Part{{c.AffinityKey, c.shared()}}
	}
	return c.Chain
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
// short calls that tolerate them. The latter allow a longer gap between events than a
// prefill chunk takes, and their target leaves time for a long prompt to be processed
// first. This keeps their own prefill away from chats, which occupy their slots for
// longer the more prefill runs next to them.
func (c *Call) usesLongSide(s *speed) bool {
	if c.Tokens >= LongPromptTokens {
		return true
	}
	return c.Gap > 0 && !c.sensitive() && s.prefillTime(assumedLongTokens).Seconds() <= maxLongWaitShare*c.target().Seconds()
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

func (c *Call) target() time.Duration {
	if c.Target <= 0 {
		return defaultTarget
	}
	return c.Target
}

// unread estimates how many tokens an engine has to process for the call, given the
// cache miss share of shared parts.
func (c *Call) unread(missShare float64) float64 {
	if !c.tracksCache() {
		return float64(c.Unshared)
	}
	return float64(c.Unshared) + missShare*float64(c.shared())
}

// observeMissShare updates the moving average with the miss share of one call.
func (p *pool) observeMissShare(share float64) {
	p.missShare += missShareWeight * (share - p.missShare)
}

// sensitiveGap is the allowed gap up to which a stream becomes late on an engine that
// processes prompts continuously: five tokens per event, each after a chunk of 2,048
// tokens, take a quarter of a second on a slow engine.
const sensitiveGap = 250 * time.Millisecond

func (c *Call) sensitive() bool { return c.Gap > 0 && c.Gap <= sensitiveGap }

// load returns the load that the call adds to its server.
func (c *Call) load() Load {
	l := Load{Running: 1, PendingPromptTokens: c.Unshared, KVTokens: c.memory()}
	if c.sensitive() {
		l.LatencySensitive = 1
	}
	if c.Tokens >= LongPromptTokens {
		l.LongPrompts = 1
	}
	return l
}

// memory returns the maximum memory, in tokens, that the call uses on its engine, not
// counting shared parts.
func (c *Call) memory() int { return c.Unshared + c.MaxOutput }
