package balance

import "time"

const (
	// LongPrompt is the prompt length in tokens from which a call belongs to the
	// long side. Two chunks of 2,048 tokens take longer to read than the pause
	// that a chat allows between two events.
	LongPrompt = 4000
	// startReread is the share of shared parts that is taken to be read before any
	// was seen.
	startReread = 0.2
	// rereadWeight is the weight of one call in the share that is read, and in the
	// usual length of a long prompt's own part.
	rereadWeight = 0.03
)

// Call is what placement needs to know.
type Call struct {
	// Tokens is the prompt's length, zero for plain calls.
	Tokens int
	// Unshared is how many of them no other call has.
	Unshared int
	// MaxOutput is the most that may be generated, in tokens.
	MaxOutput int
	// Target is the time to the answer, or its first event, that the operator
	// wants; zero where none is declared.
	Target time.Duration
	// Gap is the longest pause between two events that is on time; zero where none
	// is declared.
	Gap time.Duration
	// Tier is the rank of the call's route; 0 is the highest.
	Tier int
	// Home names the last shared part, "" for none.
	Home string
	// Chain are the shared parts in their order; the last one is Home. Left out, all
	// shared tokens belong to Home.
	Chain []Part
	// LeaveLimited: calls that go first wait for the servers that have named a limit.
	LeaveLimited bool
}

// Part is a piece of a prompt that other calls have too.
type Part struct {
	ID     string
	Tokens int
}

// chain returns the call's shared parts.
func (c *Call) chain() []Part {
	if len(c.Chain) == 0 && c.Home != "" {
		return []Part{{c.Home, c.shared()}}
	}
	return c.Chain
}

// Limits for short calls beside long prompts.
const (
	// usualLong is the length of a long prompt that such a call may wait for.
	usualLong = 3 * LongPrompt
	// besideLong is the part of its target that this wait may take.
	besideLong = 0.45
)

// long reports whether the call belongs to the long side. Beside long prompts go
// also the short calls that bear it: whose events may pause for longer than a
// chunk of reading takes, and whose target leaves time for a long prompt to be
// read first. That keeps the reading of their own prompts away from chats, which
// hold their slots for longer the more is read beside them.
func (c *Call) long(s *speed) bool {
	if c.Tokens >= LongPrompt {
		return true
	}
	return c.Gap > 0 && !c.sensitive() && s.time(usualLong).Seconds() <= besideLong*c.target().Seconds()
}

// keepToSide leaves a long prompt the engines of its side, as long as there are
// any: on the other side one of them makes every chat of its engine late.
func (c *Call) keepToSide(list []*server) []*server {
	if c.Tokens < LongPrompt {
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

// unread estimates the tokens that an engine must read, when of shared parts the
// given share is.
func (c *Call) unread(reread float64) float64 {
	if !c.followed() {
		return float64(c.Unshared)
	}
	return float64(c.Unshared) + reread*float64(c.shared())
}

// noteReread takes the share of a call's shared parts that its engine has to read.
func (p *pool) noteReread(share float64) { p.reread += rereadWeight * (share - p.reread) }

// sensitiveGap is the pause up to which a stream is late when its engine reads
// prompts without a break: five tokens an event, each after a chunk of 2,048
// tokens, take a quarter of a second on a slow engine.
const sensitiveGap = 250 * time.Millisecond

func (c *Call) sensitive() bool { return c.Gap > 0 && c.Gap <= sensitiveGap }

// load is what the call adds to its server.
func (c *Call) load() Load {
	l := Load{Running: 1, PendingPromptTokens: c.Unshared, KVTokens: c.memory()}
	if c.sensitive() {
		l.LatencySensitive = 1
	}
	if c.Tokens >= LongPrompt {
		l.LongPrompts = 1
	}
	return l
}

// memory is what the call may fill at its engine, beside shared parts.
func (c *Call) memory() int { return c.Unshared + c.MaxOutput }
