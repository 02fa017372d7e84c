package membudget

import (
	"sync"
	"testing"
)

// Guards against answers that hold a part of their servers' calls each, without a bound on the sum.
func TestAnswersHoldTheirPoolAtMost(t *testing.T) {
	const part, parts, answers = 32 << 10, 8, 1000
	p := NewPool(48 * part * parts)
	holdings := make([]Holding, answers)
	full := 0
	for i := range holdings {
		h := &holdings[i]
		h.Pool = p
		for n := int64(1); n <= parts && h.GrowTo(n*part); n++ {
		}
		if h.bytes == part*parts {
			full++
		}
		if p.Held() > p.limit {
			t.Fatalf("%d bytes are held of %d", p.Held(), p.limit)
		}
	}
	if full != 48 || p.Denied() != answers-48 {
		t.Errorf("%d answers hold all their parts, %d were denied", full, p.Denied())
	}
	for i := range holdings {
		holdings[i].Release()
		holdings[i].Release()
	}
	if p.Held() != 0 {
		t.Errorf("%d bytes are held after all were released", p.Held())
	}
}

// Guards against memory that is lost to the pool, or given out twice, by concurrent answers.
func TestPoolUnderConcurrentAnswers(t *testing.T) {
	p := NewPool(100)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			h := Holding{Pool: p}
			for n := range int64(1000) {
				h.GrowTo(n % 40)
				h.Release()
			}
		})
	}
	all.Wait()
	if p.Held() != 0 || !(&Holding{Pool: p}).GrowTo(100) {
		t.Errorf("%d bytes are held", p.Held())
	}
}

func TestNoPoolIsNoBound(t *testing.T) {
	var h Holding
	if !h.GrowTo(1 << 40) {
		t.Error("there is no memory")
	}
	h.Release()
}
