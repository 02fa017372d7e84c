package balance

const (
	// LongPrompt is the prompt length in tokens from which a call belongs to the
	// long side. Two chunks of 2,048 tokens take longer to read than the pause
	// that a chat allows between two events.
	LongPrompt = 4000
	// sharedUnread is the share of a prompt's shared parts that is taken to be
	// read again.
	sharedUnread = 0.2
)

// Call is what placement needs to know.
type Call struct {
	// Tokens is the prompt's length, zero for plain calls.
	Tokens int
	// Unshared is how many of them no other call has.
	Unshared int
	// MaxOutput is the most that may be generated, in tokens.
	MaxOutput int
	// Home names the last shared part, "" for none.
	Home string
}

func (c *Call) long() bool { return c.Tokens >= LongPrompt }

// unread estimates the tokens that an engine must read.
func (c *Call) unread() float64 {
	return float64(c.Unshared) + sharedUnread*float64(c.Tokens-c.Unshared)
}

// memory is what the call may fill at its engine, beside shared parts.
func (c *Call) memory() int { return c.Unshared + c.MaxOutput }
