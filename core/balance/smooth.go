package balance

// smooth moves a usual value towards a new one, which has the given weight; the
// first one is taken whole.
func smooth[T ~int64 | ~float64](usual, seen T, weight float64) T {
	if usual == 0 {
		return seen
	}
	return usual + T(weight*float64(seen-usual))
}
