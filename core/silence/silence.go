// Package silence decides when an open connection to a peer counts as dead.
//
// The load pattern it answers: something between two instances drops what a
// connection carries, without a reset, while new connections work. Whoever sends
// there goes on doing so for as long as there is something to send; each question
// times out, and an instance that watches there keeps an old declaration.
//
// A question may be answered late for good reasons: the peer holds it, its disk syncs,
// a group has no leader. So the connection itself is asked, which a peer answers
// without any work, and left only if that brings nothing.
//
// The package is pure: the clock is passed in.
package silence

import "time"

// Limits of a silence.
const (
	// AskAfter is how long after a question the peer is asked whether it is there. It
	// is longer than an instance that watches is kept waiting, 450 ms, so that a peer
	// which has no news is not asked in each round.
	AskAfter = 600 * time.Millisecond
	// AskAfterOneWay is the same after messages that have no answer. They repeat what
	// was lost with the next one, and there are many more connections that carry only
	// such.
	AskAfterOneWay = 2 * time.Second
	// AnswerWithin is how long the peer may take then. With AskAfter it leaves 0.8 s
	// of the 2 s in which a declaration must be in force.
	AnswerWithin = 600 * time.Millisecond
	// mostDoublings bounds how much longer a peer may take whose connections were left
	// one after the other: it has no time rather than no connection, and each new one
	// costs it more.
	mostDoublings = 4
)

// Step is what to do about a connection.
type Step int

// The steps.
const (
	// Nothing is due.
	Nothing Step = iota
	// Ask the peer whether it is there.
	Ask
	// Leave the connection.
	Leave
)

// Watch follows the connections to one peer, one after the other. The zero value has
// sent nothing. Not safe for concurrent use.
type Watch struct {
	// question and sent are when the first question and the first message of any kind
	// were sent that nothing has come back after; zero for none.
	question, sent time.Time
	// asked is when the peer was asked, zero for not yet.
	asked time.Time
	// left counts the connections that were left since anything came back.
	left int
}

// Connected notes a new connection: nothing was sent on it.
func (w *Watch) Connected() { *w = Watch{left: w.left} }

// Sent notes a message, which may be a question.
func (w *Watch) Sent(now time.Time, question bool) {
	if w.sent.IsZero() {
		w.sent = now
	}
	if question && w.question.IsZero() {
		w.question = now
	}
}

// Heard notes that something came back; waiting tells whether questions are left that
// somebody waits for.
func (w *Watch) Heard(now time.Time, waiting bool) {
	*w = Watch{}
	if waiting {
		w.Sent(now, true)
	}
}

// Due returns what to do now, and how long to wait before it is asked for again; zero
// for until something is sent.
func (w *Watch) Due(now time.Time) (Step, time.Duration) {
	if !w.asked.IsZero() {
		return w.dueAsked(now)
	}
	at := w.askAt()
	if at.IsZero() {
		return Nothing, 0
	}
	if wait := at.Sub(now); wait > 0 {
		return Nothing, wait
	}
	w.asked = now
	return Ask, w.patience()
}

func (w *Watch) dueAsked(now time.Time) (Step, time.Duration) {
	if wait := w.patience() - now.Sub(w.asked); wait > 0 {
		return Nothing, wait
	}
	w.left++
	return Leave, 0
}

// askAt is when the peer is to be asked, zero for never.
func (w *Watch) askAt() time.Time {
	if w.sent.IsZero() {
		return time.Time{}
	}
	at := w.sent.Add(AskAfterOneWay)
	if byQuestion := w.question.Add(AskAfter); !w.question.IsZero() && byQuestion.Before(at) {
		return byQuestion
	}
	return at
}

func (w *Watch) patience() time.Duration { return AnswerWithin << min(w.left, mostDoublings) }
