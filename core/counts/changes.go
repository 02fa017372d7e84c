package counts

// entriesPerSlot bounds a change log relative to the number of slots. A sender that is
// further behind scans all slots instead.
const entriesPerSlot = 2

// ChangeLog holds the slots that have changed, in order, so that a sender looks only at
// those changed since it looked last. With thousands of servers and dozens of receivers, a
// scan of all slots for each message takes up most of a collector's processor time. The
// zero value is ready for use. Not safe for concurrent use.
type ChangeLog struct {
	slots []int32
	// dropped is the number of entries discarded before the first one kept.
	dropped uint64
}

// Record records a change in one of a number of slots and returns the number of the change;
// numbers increase.
func (l *ChangeLog) Record(slot, slots int) uint64 {
	if limit := entriesPerSlot * max(slots, maxRows); len(l.slots) >= 2*limit {
		l.dropped += uint64(len(l.slots) - limit)
		l.slots = append(l.slots[:0], l.slots[len(l.slots)-limit:]...)
	}
	l.slots = append(l.slots, int32(slot))
	return l.Last()
}

// Last is the number of the last change, zero before the first.
func (l *ChangeLog) Last() uint64 { return l.dropped + uint64(len(l.slots)) }

// After returns the slots of the changes after a number; ok is false when some of these are
// no longer kept.
func (l *ChangeLog) After(number uint64) (slots []int32, ok bool) {
	if number < l.dropped || number > l.Last() {
		return nil, false
	}
	return l.slots[number-l.dropped:], true
}
