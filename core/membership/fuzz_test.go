package membership

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

// A malformed gossip message must at most change the state of other instances: the table
// keeps working and still lists its own instance.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Updates: []Instance{{Name: "b", PeerAddress: "b:1", State: Suspect}, {Name: "a", State: Dead, Incarnation: 1 << 60}}},
		{},
	} {
		data, err := msgpack.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var m Message
		if wire.Decode(body, &m) != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		table := New(Instance{Name: "a", PeerAddress: "a:1"}, []string{"b:1"}, now, func(n int) int { return n - 1 })
		table.Handle(now, m)
		for i := range 20 {
			table.Tick(now.Add(time.Duration(i) * 50 * time.Millisecond))
		}
		for _, x := range table.Instances() {
			if x.Name == "a" {
				return
			}
		}
		t.Errorf("after %x the table does not list its own instance", body)
	})
}
