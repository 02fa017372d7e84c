package ratelimit

// Waiter is a call that waits for a token.
type Waiter struct {
	// Rank orders waiters, 0 first. Within a rank, waiters that are not Late go first: a
	// token given to a late call would make another call late.
	Rank int
	// Late is set if the call has already missed its target latency.
	Late bool
	// Wake, if set, makes the waiter look again. It must not block.
	Wake func()
	// turn is the position in the order of joining; 0 before joining.
	turn uint64
}

// Queue orders the calls that wait for tokens of a group of servers. The zero value is
// empty. Not safe for concurrent use.
type Queue struct {
	waiting map[*Waiter]struct{}
	turns   uint64
}

// Join adds a waiter behind those of its rank. A waiter that joins again keeps its
// position.
func (q *Queue) Join(w *Waiter) {
	if q.waiting == nil {
		q.waiting = map[*Waiter]struct{}{}
	}
	if w.turn == 0 {
		q.turns++
		w.turn = q.turns
	}
	q.waiting[w] = struct{}{}
}

// Leave removes a waiter, if present.
func (q *Queue) Leave(w *Waiter) { delete(q.waiting, w) }

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// WakeFirst wakes the waiter that no other is before, if there is one.
func (q *Queue) WakeFirst() {
	var first *Waiter
	for x := range q.waiting {
		if first == nil || x.before(first) {
			first = x
		}
	}
	if first != nil && first.Wake != nil {
		first.Wake()
	}
}

// Ahead returns the number of waiters before the given one, which need not have joined.
func (q *Queue) Ahead(w *Waiter) int {
	n := 0
	for x := range q.waiting {
		if x != w && x.before(w) {
			n++
		}
	}
	return n
}

func (w *Waiter) before(x *Waiter) bool {
	switch {
	case w.Rank != x.Rank:
		return w.Rank < x.Rank
	case w.Late != x.Late:
		return x.Late
	}
	return w.turn != 0 && (x.turn == 0 || w.turn < x.turn)
}
