// Package lengths learns how long outputs are. Lengths are unknown when a call
// arrives; the estimator keeps a windowed histogram per class and answers with
// the mean of what was seen lately.
package lengths

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows      = 4
	rotateEvery  = 256
	maxTokens    = 1 << 17
	minSamples   = 16
	significance = 2
)

// Estimator holds one histogram per class. Not safe for concurrent use.
type Estimator struct {
	// Default is the answer in tokens while a class has few samples.
	Default int
	classes map[string]*windowed
}

type windowed struct {
	hist    *hdrhistogram.WindowedHistogram
	samples int
	merged  *hdrhistogram.Histogram
}

// New returns an estimator with a default length in tokens.
func New(defaultTokens int) *Estimator {
	return &Estimator{Default: defaultTokens, classes: map[string]*windowed{}}
}

// Observe records a finished output's length in tokens.
func (e *Estimator) Observe(class string, tokens int) {
	w := e.classes[class]
	if w == nil {
		w = &windowed{hist: hdrhistogram.NewWindowed(windows, 1, maxTokens, significance)}
		e.classes[class] = w
	}
	if w.samples > 0 && w.samples%rotateEvery == 0 {
		w.hist.Rotate()
	}
	_ = w.hist.Current.RecordValue(int64(max(1, min(tokens, maxTokens))))
	w.samples++
	w.merged = nil
}

// Mean returns the expected length of a class in tokens.
func (e *Estimator) Mean(class string) float64 {
	w := e.classes[class]
	if w == nil || w.samples < minSamples {
		return float64(e.Default)
	}
	return w.view().Mean()
}

// view merges the windows, at most once per observation.
func (w *windowed) view() *hdrhistogram.Histogram {
	if w.merged == nil {
		w.merged = w.hist.Merge()
	}
	return w.merged
}
