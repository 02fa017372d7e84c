package silence

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// play is the traffic of a connection.
type play struct {
	w Watch
	// every is the time between two messages, questions or not.
	every    time.Duration
	question bool
	// answers is how long after a question it is answered; negative for never. Whether
	// it is there, a peer that answers says within 0.1 s.
	answers time.Duration
}

// run returns how often the peer was asked whether it is there, and when the connection
// was left, zero for never.
func (p *play) run(span time.Duration) (asked int, left time.Duration) {
	const step = 10 * time.Millisecond
	var answerAt, sentAt time.Duration
	for at := time.Duration(0); at < span; at += step {
		now := t0.Add(at)
		if p.answers >= 0 && answerAt > 0 && at >= answerAt {
			p.w.Heard(now, false)
			answerAt = 0
		}
		if at >= sentAt {
			sentAt = at + p.every
			p.w.Sent(now, p.question)
			if p.question && answerAt == 0 {
				answerAt = at + p.answers
			}
		}
		switch s, _ := p.w.Due(now); s {
		case Ask:
			asked++
			if answerAt == 0 || answerAt > at+10*step {
				answerAt = at + min(max(p.answers, step), 10*step)
			}
		case Leave:
			return asked, at
		}
	}
	return asked, 0
}

func TestSilentConnectionIsLeftWithinTheTimeOfADeclaration(t *testing.T) {
	p := play{every: 200 * time.Millisecond, question: true, answers: -1}
	if _, left := p.run(30 * time.Second); left == 0 || left > 1300*time.Millisecond {
		t.Errorf("left after %v", left)
	}
	p = play{every: 200 * time.Millisecond, answers: -1}
	if _, left := p.run(30 * time.Second); left == 0 || left > 3*time.Second {
		t.Errorf("with messages that have no answer: left after %v", left)
	}
}

// A watch that has no news is answered when its hold is over; that peer is not asked.
func TestHeldQuestionsAskNothing(t *testing.T) {
	p := play{every: 470 * time.Millisecond, question: true, answers: 450 * time.Millisecond}
	if asked, left := p.run(30 * time.Second); asked > 0 || left > 0 {
		t.Errorf("asked %d times, left after %v", asked, left)
	}
}

// A peer that works on a question for seconds says at once that it is there.
func TestSlowAnswerIsNoSilence(t *testing.T) {
	p := play{every: 20 * time.Second, question: true, answers: 5 * time.Second}
	if asked, left := p.run(30 * time.Second); asked == 0 || left > 0 {
		t.Errorf("asked %d times, left after %v", asked, left)
	}
}

func TestNothingSentNothingDue(t *testing.T) {
	var w Watch
	if s, wait := w.Due(t0); s != Nothing || wait != 0 {
		t.Errorf("%v in %v", s, wait)
	}
	w.Sent(t0, true)
	w.Heard(t0.Add(time.Second), false)
	if s, wait := w.Due(t0.Add(time.Hour)); s != Nothing || wait != 0 {
		t.Errorf("after an answer: %v in %v", s, wait)
	}
}

// A peer without any processor time for a minute answers nothing. Each new connection
// costs it more; there must be few.
func TestPeerWithoutTimeIsLeftSeldom(t *testing.T) {
	var w Watch
	left := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		w.Sent(t0.Add(at), true)
		if s, _ := w.Due(t0.Add(at)); s == Leave {
			left++
			w.Connected()
		}
	}
	if left == 0 || left > 8 {
		t.Errorf("%d connections were left in a minute", left)
	}
	w.Heard(t0.Add(time.Minute), true)
	if w.patience() != AnswerWithin {
		t.Errorf("patience is %v after an answer", w.patience())
	}
}
