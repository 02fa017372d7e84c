package heldbody

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"cardamomwick.example/core/membudget"
)

// Guards against a body that loses bytes between its parts, or whose end is not seen at the limit.
func TestBodiesAroundTheLimits(t *testing.T) {
	const limit = 256 << 10
	for _, n := range []int{0, 1, firstPartBytes - 1, firstPartBytes, firstPartBytes + 1, FreeBytes, FreeBytes + 1, 100_000, limit - 1, limit, limit + 1, limit + 100} {
		text := strings.Repeat("abcdefg", n/7+1)[:n]
		for _, length := range []int64{-1, int64(n)} {
			for _, body := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
				p := membudget.NewPool(1 << 30)
				h := membudget.Holding{Pool: p}
				parts, whole, err := Read(body, length, limit, &h)
				if got := slices.Concat(parts...); err != nil || whole != (n <= limit) || !strings.HasPrefix(text, string(got)) || whole && len(got) != n || Length(parts) != len(got) {
					t.Errorf("%d bytes of %d, whole %t, error %v", len(got), n, whole, err)
				}
				if held := p.Held(); n < FreeBytes && length >= 0 && held != 0 || held > limit+1 {
					t.Errorf("%d bytes hold %d", n, held)
				}
			}
		}
	}
}

func TestBodyWithoutMemoryIsReadInPart(t *testing.T) {
	p := membudget.NewPool(64 << 10)
	text := bytes.Repeat([]byte("x"), 200<<10)
	body := bytes.NewReader(text)
	h := membudget.Holding{Pool: p}
	parts, whole, err := Read(body, -1, 256<<10, &h)
	if err != nil || whole || Length(parts) > 64<<10 || Length(parts)+body.Len() != len(text) {
		t.Errorf("%d bytes are held, %d are left, whole %t, error %v", Length(parts), body.Len(), whole, err)
	}
}

func TestErrorOfTheBodyIsReturned(t *testing.T) {
	broken := errors.New("broken")
	parts, _, err := Read(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(broken)), -1, 100, &membudget.Holding{})
	if !errors.Is(err, broken) || Length(parts) != 4 {
		t.Errorf("%d bytes, error %v", Length(parts), err)
	}
}
