package balance

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/wire"
)

// A report from another version or a faulty instance may be nonsense. It must neither
// crash this instance nor make placement fail.
func FuzzReport(f *testing.F) {
	b, list := pool12()
	b.Start(t0, list[0].ID, longCall("s"))
	b.RecordLimit(t0, list[2].ID, ratelimit.Limit{Limited: true, PerSecond: 2.5})
	first := b.CollectorReport(t0, "peer")
	b.Start(t0, list[1].ID, longCall("s"))
	second := b.MemberReply(t0, "member")
	for _, m := range []counts.Message{first, second} {
		data, err := msgpack.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x80})
	f.Add([]byte("\x82\xa1a\x82\xa1s\x01\xa1q\x01\xa1r\xc4\x05\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var m counts.Message
		if wire.Decode(body, &m) != nil {
			return
		}
		b, _ := pool12()
		b.Receive(t0, &m)
		b.Receive(t0, &m)
		now := t0.Add(100 * time.Millisecond)
		b.Forecast(now, "p", longCall("s"), time.Second, time.Second)
		if _, ok := b.Choose(now, "p", longCall("s"), nil, fixedRandom); !ok {
			if _, limited := b.TokenWait(now, "p", nil, 0); !limited {
				t.Error("no engine is chosen after a report, and none is limited")
			}
		}
		b.CollectorReport(now, m.Name)
		b.MemberReply(now, m.Name)
	})
}
