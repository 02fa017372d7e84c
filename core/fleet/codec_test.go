package fleet

import (
	"math/rand"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// tagged is a Server that is encoded by its tags.
type tagged Server

func randomServer(rnd *rand.Rand) Server {
	text := func() string { return []string{"", "x", "i-0123456789", "10.1.2.3:8000"}[rnd.Intn(4)] }
	return Server{ID: text(), Pool: text(), Address: text(), Zone: text(), Slots: rnd.Intn(3) * 1000, Phase: Phase(rnd.Intn(3)),
		Sequence: rnd.Uint64() >> rnd.Intn(64), Overdue: rnd.Intn(2) == 0, Name: text(), Born: rnd.Int63() >> rnd.Intn(63), Reclaimable: rnd.Intn(2) == 0}
}

// Instances of other versions encode servers by the tags of the type, and logs on disk are
// written so: what one side writes, the other must read as it was.
func TestServersAreEncodedAsTheirTagsSay(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	for range 1000 {
		s := randomServer(rnd)
		data, err := msgpack.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var byTags tagged
		if err := msgpack.Unmarshal(data, &byTags); err != nil || Server(byTags) != s {
			t.Fatalf("by its tags: %+v, %v, want %+v", byTags, err, s)
		}
		former, err := msgpack.Marshal(tagged(s))
		if err != nil {
			t.Fatal(err)
		}
		var back Server
		if err := msgpack.Unmarshal(former, &back); err != nil || back != s {
			t.Fatalf("read as %+v, %v, want %+v", back, err, s)
		}
	}
	// A field that is added to the type needs a key here.
	if n := reflect.TypeFor[Server]().NumField(); n != alwaysEncoded+3 {
		t.Errorf("%d fields, %d are encoded", n, alwaysEncoded+3)
	}
}

// A later version may have more fields.
func TestUnknownFieldsOfAServerArePassedOver(t *testing.T) {
	data, err := msgpack.Marshal(map[string]any{"later": []int{1, 2}, "i": "a"})
	if err != nil {
		t.Fatal(err)
	}
	var s Server
	if err := msgpack.Unmarshal(data, &s); err != nil || s.ID != "a" {
		t.Errorf("%+v, %v", s, err)
	}
}

// BenchmarkListing is what a replica pays to encode all of 3,000 servers, and an entry to
// decode them.
func BenchmarkListing(b *testing.B) {
	rnd := rand.New(rand.NewSource(1))
	var l Listing
	for range 3000 {
		l.Servers = append(l.Servers, randomServer(rnd))
	}
	data, err := msgpack.Marshal(&l)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for range b.N {
			if _, err := msgpack.Marshal(&l); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		for range b.N {
			var out Listing
			if err := msgpack.Unmarshal(data, &out); err != nil {
				b.Fatal(err)
			}
		}
	})
}
