// Package lengths estimates output lengths. The length of an output is unknown when
// its call arrives; the estimator keeps a windowed histogram per request class and
// predicts the mean of recent outputs.
package lengths

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowCount   = 4
	windowSamples = 256
	maxTokens     = 1 << 17
	minSamples    = 16
	significance  = 2
)

// Estimator keeps one histogram per class. It is not safe for concurrent use.
type Estimator struct {
	// Default is the estimate, in tokens, for classes with fewer than minSamples
	// samples.
	Default int
	classes map[string]*windowed
}

type windowed struct {
	hist    *hdrhistogram.WindowedHistogram
	samples int
	merged  *hdrhistogram.Histogram
}

// New returns an estimator with a default estimate in tokens.
func New(defaultTokens int) *Estimator {
	return &Estimator{Default: defaultTokens, classes: map[string]*windowed{}}
}

// Observe records the length, in tokens, of a finished output.
func (e *Estimator) Observe(class string, tokens int) {
	w := e.classes[class]
	if w == nil {
		w = &windowed{hist: hdrhistogram.NewWindowed(windowCount, 1, maxTokens, significance)}
		e.classes[class] = w
	}
	if w.samples > 0 && w.samples%windowSamples == 0 {
		w.hist.Rotate()
	}
	_ = w.hist.Current.RecordValue(int64(max(1, min(tokens, maxTokens))))
	w.samples++
	w.merged = nil
}

// Mean returns the expected output length of a class in tokens.
func (e *Estimator) Mean(class string) float64 {
	w := e.classes[class]
	if w == nil || w.samples < minSamples {
		return float64(e.Default)
	}
	return w.mergedHistogram().Mean()
}

// mergedHistogram returns the merged windows, cached until the next observation.
func (w *windowed) mergedHistogram() *hdrhistogram.Histogram {
	if w.merged == nil {
		w.merged = w.hist.Merge()
	}
	return w.merged
}
