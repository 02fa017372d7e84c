package ratelimit

import (
	"fmt"
	"testing"
)

// The instances must share all slots, and none twice.
func TestOwnedSlotsAddUp(t *testing.T) {
	for _, instances := range []int{1, 4, 6, 64, 376} {
		for _, slots := range []int{0, 1, 2, 6, 64, 1000} {
			sum := 0
			for rank := range instances {
				sum += OwnedSlots(slots, instances, rank)
			}
			if sum != slots {
				t.Errorf("%d instances own %d of %d slots", instances, sum, slots)
			}
		}
	}
}

func TestBearsAllRejections(t *testing.T) {
	for _, c := range []struct {
		announced, arrivals float64
		bears               bool
	}{{0, 0, false}, {5, 0, false}, {3, 10, false}, {30, 10, true}, {1e6, 500, true}} {
		l, _ := NewLimit(c.announced)
		if got := l.Bears(c.arrivals); got != c.bears {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

// Slots that seemed free by counts of other instances were used by several at once.
func TestOnlyOwnSlotsAreCertain(t *testing.T) {
	for _, c := range []struct {
		room    Room
		certain bool
	}{
		{Room{Slots: 64, Owned: 10, Own: 9, All: 9}, true},
		{Room{Slots: 64, Owned: 10, Own: 10, All: 10}, false},
		{Room{Slots: 6, Own: 0, All: 0}, false},
		{Room{Slots: 6, Owned: 1, Own: 0, All: 6}, true},
		{Room{Slots: 6, Owned: 1, Own: 0, All: 6, Handover: true}, false},
		{Room{Slots: 0, All: 0}, false},
	} {
		if got := c.room.Certain(); got != c.certain {
			t.Errorf("%+v: got %v", c.room, got)
		}
	}
}

func ExampleOwnedSlots() {
	fmt.Println(OwnedSlots(6, 4, 0), OwnedSlots(6, 4, 3))
	// Output: 2 1
}
