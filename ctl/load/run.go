package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/caller"
)

// Target is where a run sends its calls.
type Target struct {
	// Instances are caller addresses to ask for addresses.
	Instances []string
	// Keys maps customers to bearer keys.
	Keys map[string]string
	// Zones are the callers' zones, used in turn.
	Zones []string
}

// Sample is one call's fate.
type Sample struct {
	Arrival Arrival
	Class   string
	Result  *caller.Result
	// FirstToken and Total count from the drawn arrival.
	FirstToken, Total time.Duration
	// Attained: completed within all targets of the class.
	Attained bool
	// Sends is how often the caller sent the call.
	Sends int
}

// Progress is told about a run now and then.
type Progress func(done, all int, elapsed time.Duration)

const (
	// maxSends bounds how often a caller sends one call.
	maxSends       = 4
	progressPeriod = time.Second
	resendPause    = 50 * time.Millisecond
)

// directory keeps the address list as callers do.
type directory struct {
	target *Target
	mu     sync.Mutex
	lists  map[string]cachedList
	turn   int
}

type cachedList struct {
	addresses []string
	until     time.Time
}

// pick returns the n-th best address for a customer in a zone.
func (d *directory) pick(ctx context.Context, customer, zone string, n int) string {
	key := customer + "\x00" + zone
	d.mu.Lock()
	l, ok := d.lists[key]
	d.mu.Unlock()
	if !ok || time.Now().After(l.until) || n > 0 {
		l = d.refresh(ctx, key, zone, n)
	}
	if len(l.addresses) == 0 {
		return d.target.Instances[n%len(d.target.Instances)]
	}
	return l.addresses[n%len(l.addresses)]
}

const askTimeout = 500 * time.Millisecond

func (d *directory) refresh(ctx context.Context, key, zone string, n int) cachedList {
	for range d.target.Instances {
		d.mu.Lock()
		d.turn++
		ask := d.target.Instances[d.turn%len(d.target.Instances)]
		d.mu.Unlock()
		actx, cancel := context.WithTimeout(ctx, askTimeout)
		list, err := caller.Addresses(actx, ask, zone)
		cancel()
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		l := cachedList{list.Addresses, time.Now().Add(time.Duration(list.TTLMillis) * time.Millisecond)}
		d.mu.Lock()
		d.lists[key] = l
		d.mu.Unlock()
		return l
	}
	return cachedList{}
}

// Run makes all calls at their times and waits for their ends.
func Run(ctx context.Context, p *Profile, t *Target, arrivals []Arrival, progress Progress) []Sample {
	d := &directory{target: t, lists: map[string]cachedList{}}
	samples := make([]Sample, len(arrivals))
	var done atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	stop := reportProgress(progress, &done, len(arrivals), start)
	for k, a := range arrivals {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(a.At))):
		}
		wg.Go(func() {
			samples[k] = p.make(ctx, d, a, start.Add(a.At))
			done.Add(1)
		})
	}
	wg.Wait()
	stop()
	return samples
}

func reportProgress(progress Progress, done *atomic.Int64, all int, start time.Time) func() {
	if progress == nil {
		return func() {}
	}
	quit := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				progress(int(done.Load()), all, time.Since(start))
			}
		}
	}()
	return func() { close(quit) }
}

// make plays one caller: it sends the call, and again to another entry when
// no answer came or the entry said to go elsewhere. A call that the system
// gave up on is not sent again.
func (p *Profile) make(ctx context.Context, d *directory, a Arrival, due time.Time) Sample {
	st := p.Streams[a.Stream]
	class := p.Bundle.Classes[st.Class]
	zone := d.target.Zones[a.Number%len(d.target.Zones)]
	req := p.request(st, a, d.target.Keys[a.Customer])
	s := Sample{Arrival: a, Class: st.Class}
	for s.Sends = 1; ; s.Sends++ {
		req.Address = d.pick(ctx, a.Customer, zone, s.Sends-1)
		sent := time.Since(due)
		req.Deadline = class.Deadline.D() - sent
		if req.Deadline <= 0 {
			req.Deadline = time.Millisecond
		}
		s.Result = caller.Do(ctx, req)
		s.FirstToken = sent + s.Result.FirstToken
		s.Total = sent + s.Result.Total
		if s.Sends >= maxSends || ctx.Err() != nil || !goesElsewhere(s.Result, class) {
			break
		}
		time.Sleep(resendPause)
	}
	s.Attained = s.Result.Transport == nil && s.Result.Error == nil && s.Result.Correct && class.Attained(s.FirstToken, s.Total, s.Result.Tokens)
	return s
}

func goesElsewhere(r *caller.Result, class bundle.Class) bool {
	if r.Transport != nil {
		return true
	}
	if r.Error == nil {
		return false
	}
	switch r.Error.Type {
	case api.ErrorEntryIsolated, api.ErrorEntryDraining, api.ErrorReplicasUnavailable:
		return true
	case api.ErrorAcceptedNotFinished, api.ErrorCallInProgress:
		return class.Durable
	}
	return false
}

func (p *Profile) request(st Stream, a Arrival, key string) *caller.Request {
	r := &caller.Request{Customer: key, Class: st.Class, Stream: true}
	if st.Keyed {
		r.Key = caller.NewKey()
	}
	if st.Service != "" {
		r.Service, r.Path = st.Service, "/do"
		r.Body = fmt.Appendf(nil, `{"call":%d}`, a.Number)
		return r
	}
	r.Model = st.Model
	r.Output = a.Output
	r.MaxTokens = p.Bundle.Classes[st.Class].MaxOutputTokens
	shared := strings.Repeat(fmt.Sprintf("%s-%d ", st.Class, a.Kind), max(1, st.PromptBytes/2/(len(st.Class)+4)))
	own := strings.Repeat(fmt.Sprintf("call-%d ", a.Number), max(1, st.PromptBytes/2/12))
	r.Prompt = []string{shared, own}
	return r
}

// Shed reports whether the system gave the call up without running it.
func (s *Sample) Shed() bool {
	return s.Result.Error != nil && s.Result.Outcome == state.OutcomeNotRun
}
