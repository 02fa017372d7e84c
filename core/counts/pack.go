package counts

import (
	"encoding/binary"
	"math"
	"time"

	"cardamomwick.example/core/ratelimit"
)

// tokenUnit is the unit of tokens on the wire: engines allocate their KV cache in blocks of
// 16 tokens, and in units of 32 half a million tokens take two bytes.
const tokenUnit = 32

// rounded returns the row as the receiver decodes it.
func (r Row) rounded() Row {
	r.Load.PendingPromptTokens = tokenUnit * toTokenUnits(r.Load.PendingPromptTokens)
	r.Load.KVTokens = tokenUnit * toTokenUnits(r.Load.KVTokens)
	return r
}

func toTokenUnits(tokens int) int { return (max(0, tokens) + tokenUnit/2) / tokenUnit }

// appendRow encodes a row after the number of its server: the number times two, plus one if
// an event interval follows, then the counts.
func appendRow(out []byte, number uint32, r Row, withInterval bool) []byte {
	head := uint64(number) << 1
	if withInterval {
		head++
	}
	out = binary.AppendUvarint(out, head)
	for _, n := range [...]int{r.Load.Running, toTokenUnits(r.Load.PendingPromptTokens), toTokenUnits(r.Load.KVTokens), r.Load.LatencySensitive, r.Load.LongPrompts} {
		out = binary.AppendUvarint(out, uint64(max(0, n)))
	}
	if withInterval {
		out = binary.AppendUvarint(out, uint64(r.EventInterval.Microseconds))
		out = binary.AppendUvarint(out, uint64(r.EventInterval.Instances))
	}
	return out
}

// decoder decodes what appendRow, appendUse and appendLimit write.
type decoder struct {
	data   []byte
	failed bool
}

// uvarint reads a number up to limit.
func (d *decoder) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 || v > limit {
		d.failed, d.data = true, nil
		return 0
	}
	d.data = d.data[n:]
	return v
}

// maxCount bounds one count: more than any engine can hold, and small enough for sums over
// all instances.
const maxCount = 1 << 30

// row reads one row; the event interval is set only with withInterval.
func (d *decoder) row() (number uint32, r Row, withInterval bool) {
	head := d.uvarint(math.MaxUint32)
	l := &r.Load
	l.Running = int(d.uvarint(maxCount))
	l.PendingPromptTokens = tokenUnit * int(d.uvarint(maxCount))
	l.KVTokens = tokenUnit * int(d.uvarint(maxCount))
	l.LatencySensitive = int(d.uvarint(maxCount))
	l.LongPrompts = int(d.uvarint(maxCount))
	if withInterval = head&1 == 1; withInterval {
		r.EventInterval.Microseconds = uint32(d.uvarint(math.MaxUint32))
		r.EventInterval.Instances = uint32(d.uvarint(maxCount))
	}
	return uint32(head >> 1), r, withInterval
}

func appendUse(out []byte, number uint32, prefix PrefixKey) []byte {
	out = binary.AppendUvarint(out, uint64(number))
	return binary.LittleEndian.AppendUint32(out, uint32(prefix))
}

func (d *decoder) use() (number uint32, prefix PrefixKey) {
	number = uint32(d.uvarint(math.MaxUint32))
	const keyBytes = 4
	if len(d.data) < keyBytes {
		d.failed, d.data = true, nil
		return 0, 0
	}
	prefix = PrefixKey(binary.LittleEndian.Uint32(d.data))
	d.data = d.data[keyBytes:]
	return number, prefix
}

const (
	// limitAgeUnit is the unit of a limit's age on the wire.
	limitAgeUnit = time.Millisecond
	// maxLimitAge bounds the age that is sent.
	maxLimitAge = time.Hour
)

// appendLimit encodes a limit after the number of its server, in steps, then its age.
func appendLimit(out []byte, number uint32, l ratelimit.Limit, age time.Duration) []byte {
	out = binary.AppendUvarint(out, uint64(number))
	out = binary.AppendUvarint(out, l.Steps())
	return binary.AppendUvarint(out, uint64(min(max(0, age), maxLimitAge)/limitAgeUnit))
}

func (d *decoder) limit() (number uint32, l ratelimit.Limit, age time.Duration) {
	number = uint32(d.uvarint(math.MaxUint32))
	l = ratelimit.LimitOfSteps(d.uvarint(math.MaxUint32))
	age = time.Duration(d.uvarint(uint64(maxLimitAge/limitAgeUnit))) * limitAgeUnit
	return number, l, age
}
