package wire

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

type sample struct {
	Text   string            `msgpack:"t"`
	Bytes  []byte            `msgpack:"b"`
	Names  []string          `msgpack:"n"`
	Table  map[string]sample `msgpack:"m"`
	Number []any             `msgpack:"u"`
}

func TestDecodeReadsEncodedValues(t *testing.T) {
	for _, in := range []sample{
		{},
		{Text: strings.Repeat("x", 70_000), Bytes: bytes.Repeat([]byte{1}, 300), Names: make([]string, 70_000)},
		{Text: strings.Repeat("x", 200), Names: make([]string, 300), Table: map[string]sample{"a": {Text: "b"}, "c": {Names: []string{"d"}}},
			Number: []any{-1, -200, -70_000, math.MinInt64, 200, 70_000, uint64(math.MaxUint64), 1.5, float32(2.5), true, nil, time.Unix(5, 6)}},
	} {
		data, err := msgpack.Marshal(&in)
		if err != nil {
			t.Fatal(err)
		}
		var out sample
		if err := Decode(data, &out); err != nil {
			t.Fatalf("%d bytes: %v", len(data), err)
		}
		if out.Text != in.Text || len(out.Names) != len(in.Names) || len(out.Table) != len(in.Table) || len(out.Number) != len(in.Number) {
			t.Errorf("decoded as %.200v", out)
		}
	}
}

// A message of a few bytes that claims two billion elements must be rejected without
// allocating them.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	for name, data := range map[string]string{
		"empty":            "",
		"list":             "\x81\xa1n\xdd\xa1\x73\xcc\x01",
		"map":              "\x81\xa1m\xdf\xff\xff\xff\xff",
		"list in a list":   "\x92\xdc\x00\x02\x01",
		"truncated text":   "\x81\xa1t\xd9\x10abc",
		"truncated length": "\x81\xa1t\xda\x10",
		"truncated number": "\xcf\x00\x00",
		"unused type code": "\x81\xa1t\xc1",
		"extension, short": "\xc7\x05\x01ab",
	} {
		var out sample
		if err := Decode([]byte(data), &out); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Decoding must not panic or exhaust memory on any input.
func FuzzDecode(f *testing.F) {
	data, err := msgpack.Marshal(&sample{Text: "x", Names: []string{"a"}, Number: []any{1, -5, 2.5, nil}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var out sample
		_ = Decode(data, &out) // must not end the process
	})
}
