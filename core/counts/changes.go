package counts

// keptPerSlot bounds a change log: so many entries for each slot. A sender that is further
// behind looks through all slots instead.
const keptPerSlot = 2

// ChangeLog has the slots that have changed, in order, so that a sender looks only at those
// that have changed since it looked last. With thousands of servers and dozens of receivers,
// looking at all for each message is what takes a collector's time. The zero value is ready.
// Not safe for concurrent use.
type ChangeLog struct {
	slots []int32
	// dropped is how many entries there were before the first one kept.
	dropped uint64
}

// Note notes a change in a slot, of so many, and returns its number; numbers rise.
func (l *ChangeLog) Note(slot, slots int) uint64 {
	if most := keptPerSlot * max(slots, mostRows); len(l.slots) >= 2*most {
		l.dropped += uint64(len(l.slots) - most)
		l.slots = append(l.slots[:0], l.slots[len(l.slots)-most:]...)
	}
	l.slots = append(l.slots, int32(slot))
	return l.End()
}

// End is the number of the last change, zero before the first.
func (l *ChangeLog) End() uint64 { return l.dropped + uint64(len(l.slots)) }

// After returns the slots of the changes after the one with a number; ok is false when
// some of these are not kept any more.
func (l *ChangeLog) After(number uint64) (slots []int32, ok bool) {
	if number < l.dropped || number > l.End() {
		return nil, false
	}
	return l.slots[number-l.dropped:], true
}
