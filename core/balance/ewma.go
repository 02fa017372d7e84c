package balance

// ewma updates an exponentially weighted moving average with an observation of the
// given weight. The first observation becomes the average.
func ewma[T ~int64 | ~float64](average, seen T, weight float64) T {
	if average == 0 {
		return seen
	}
	return average + T(weight*float64(seen-average))
}
