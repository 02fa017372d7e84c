package balance

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

// A report that another version or a faulty instance sends may be nonsense, but
// must neither end this instance nor make placement fail.
func FuzzReport(f *testing.F) {
	b, list := pool12()
	b.Start(t0, list[0].ID, longCall("s"))
	sum := b.Sum(t0)
	data, err := msgpack.Marshal(&sum)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x80})
	f.Add([]byte("\x81\xa1l\x81\xa1x\x95\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var r Report
		if wire.Decode(body, &r) != nil {
			return
		}
		b, _ := pool12()
		b.TakeSum(t0, r)
		b.TakeMember(t0, r)
		now := t0.Add(100 * time.Millisecond)
		b.Forecast(now, "p", longCall("s"), time.Second, time.Second)
		if _, ok := b.Choose(now, "p", longCall("s"), nil, middle); !ok {
			t.Error("no engine is chosen after a report")
		}
		b.Sum(now)
	})
}
