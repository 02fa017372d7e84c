package counts

import (
	"encoding/binary"
	"math"
	"time"

	"cardamomwick.example/core/ratelimit"
)

// tokenUnit is the unit of tokens on the wire: engines hand out memory in blocks of
// 16, and half a million tokens take two bytes in units of 32.
const tokenUnit = 32

// rounded is a row as it comes out at the receiver.
func (r Row) rounded() Row {
	r.Load.Unread = tokenUnit * units(r.Load.Unread)
	r.Load.Memory = tokenUnit * units(r.Load.Memory)
	return r
}

func units(tokens int) int { return (max(0, tokens) + tokenUnit/2) / tokenUnit }

// appendRow packs a row behind the number of its server: the number times two, plus
// one where a pace follows, then the counts.
func appendRow(out []byte, number uint32, r Row, withPace bool) []byte {
	head := uint64(number) << 1
	if withPace {
		head++
	}
	out = binary.AppendUvarint(out, head)
	for _, n := range [...]int{r.Load.Running, units(r.Load.Unread), units(r.Load.Memory), r.Load.Sensitive, r.Load.Long} {
		out = binary.AppendUvarint(out, uint64(max(0, n)))
	}
	if withPace {
		out = binary.AppendUvarint(out, uint64(r.Pace.Microseconds))
		out = binary.AppendUvarint(out, uint64(r.Pace.Instances))
	}
	return out
}

// packed reads what appendRow and appendUse write.
type packed struct {
	data []byte
	bad  bool
}

// next reads a number up to most.
func (p *packed) next(most uint64) uint64 {
	v, n := binary.Uvarint(p.data)
	if n <= 0 || v > most {
		p.bad, p.data = true, nil
		return 0
	}
	p.data = p.data[n:]
	return v
}

// mostCount bounds one count: more than any engine can hold, and small enough for
// sums over all instances.
const mostCount = 1 << 30

// row reads one row; the pace is only set with withPace.
func (p *packed) row() (number uint32, r Row, withPace bool) {
	head := p.next(math.MaxUint32)
	l := &r.Load
	l.Running = int(p.next(mostCount))
	l.Unread = tokenUnit * int(p.next(mostCount))
	l.Memory = tokenUnit * int(p.next(mostCount))
	l.Sensitive = int(p.next(mostCount))
	l.Long = int(p.next(mostCount))
	if withPace = head&1 == 1; withPace {
		r.Pace.Microseconds = uint32(p.next(math.MaxUint32))
		r.Pace.Instances = uint32(p.next(mostCount))
	}
	return uint32(head >> 1), r, withPace
}

func appendUse(out []byte, number uint32, part PartKey) []byte {
	out = binary.AppendUvarint(out, uint64(number))
	return binary.LittleEndian.AppendUint32(out, uint32(part))
}

func (p *packed) use() (number uint32, part PartKey) {
	number = uint32(p.next(math.MaxUint32))
	const keyBytes = 4
	if len(p.data) < keyBytes {
		p.bad, p.data = true, nil
		return 0, 0
	}
	part = PartKey(binary.LittleEndian.Uint32(p.data))
	p.data = p.data[keyBytes:]
	return number, part
}

const (
	// limitAgeUnit is the unit of a limit's age on the wire.
	limitAgeUnit = time.Millisecond
	// mostLimitAge bounds the age that is told.
	mostLimitAge = time.Hour
)

// appendLimit packs a limit behind the number of its server: 0 for none, or one more than
// the rate in its smallest parts, then its age.
func appendLimit(out []byte, number uint32, l ratelimit.Limit, age time.Duration) []byte {
	rate := uint64(0)
	if l.Limited {
		rate = 1 + uint64(math.Round(l.PerSecond*ratelimit.StepsPerUnit))
	}
	out = binary.AppendUvarint(out, uint64(number))
	out = binary.AppendUvarint(out, rate)
	return binary.AppendUvarint(out, uint64(min(max(0, age), mostLimitAge)/limitAgeUnit))
}

func (p *packed) limit() (number uint32, l ratelimit.Limit, age time.Duration) {
	number = uint32(p.next(math.MaxUint32))
	if rate := p.next(math.MaxUint32); rate > 0 {
		l, _ = ratelimit.NewLimit(float64(rate-1) / ratelimit.StepsPerUnit) // a whole number is a rate
	}
	age = time.Duration(p.next(uint64(mostLimitAge/limitAgeUnit))) * limitAgeUnit
	return number, l, age
}
