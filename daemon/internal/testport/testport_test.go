package testport

import "testing"

func TestNoAddressIsReservedTwice(t *testing.T) {
	given := map[string]bool{}
	for range 500 {
		a := Reserve(t)
		if given[a] {
			t.Fatalf("%s was reserved already", a)
		}
		if reserve(t, a) {
			t.Fatalf("%s can be reserved again", a)
		}
		given[a] = true
	}
}

func TestAddressIsFreeAfterTheTest(t *testing.T) {
	var address string
	t.Run("holder", func(t *testing.T) { address = Reserve(t) })
	if !reserve(t, address) {
		t.Errorf("%s is still held", address)
	}
}
