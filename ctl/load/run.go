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
	// Instances are the caller addresses of instances that answer address lookups.
	Instances []string
	// Keys maps customers to bearer keys.
	Keys map[string]string
	// Zones are the callers' availability zones, used in round-robin order.
	Zones []string
}

// Sample records one call.
type Sample struct {
	Arrival Arrival
	Class   string
	Result  *caller.Result
	// FirstToken and Total count from the drawn arrival time.
	FirstToken, Total time.Duration
	// Attained reports whether the call completed within all targets of its class.
	Attained bool
	// Attempts is how often the caller sent the call.
	Attempts int
}

// Progress is called about once a second during a run.
type Progress func(completed, total int, elapsed time.Duration)

const (
	maxAttempts      = 4
	progressInterval = time.Second
	retryDelay       = 50 * time.Millisecond
)

// addressCache caches address lists per customer and zone until they expire, as
// callers are expected to do.
type addressCache struct {
	target       *Target
	mu           sync.Mutex
	lists        map[string]cachedList
	nextInstance int
}

type cachedList struct {
	addresses []string
	expires   time.Time
}

// address returns the address for an attempt, counted from 0: the list's next one for
// each retry. A retry also refreshes the list.
func (d *addressCache) address(ctx context.Context, customer, zone string, attempt int) string {
	key := customer + "\x00" + zone
	d.mu.Lock()
	list, ok := d.lists[key]
	d.mu.Unlock()
	if !ok || time.Now().After(list.expires) || attempt > 0 {
		list = d.refresh(ctx, key, zone, attempt)
	}
	if len(list.addresses) == 0 {
		return d.target.Instances[attempt%len(d.target.Instances)]
	}
	return list.addresses[attempt%len(list.addresses)]
}

const lookupTimeout = 500 * time.Millisecond

func (d *addressCache) refresh(ctx context.Context, key, zone string, attempt int) cachedList {
	for range d.target.Instances {
		d.mu.Lock()
		d.nextInstance++
		instance := d.target.Instances[d.nextInstance%len(d.target.Instances)]
		d.mu.Unlock()
		lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		list, err := caller.FetchAddresses(lookupCtx, instance, zone)
		cancel()
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		cached := cachedList{list.Addresses, time.Now().Add(time.Duration(list.TTLMillis) * time.Millisecond)}
		d.mu.Lock()
		d.lists[key] = cached
		d.mu.Unlock()
		return cached
	}
	return cachedList{}
}

// Run sends all calls at their arrival times and waits until they have ended.
func Run(ctx context.Context, p *Profile, t *Target, arrivals []Arrival, progress Progress) []Sample {
	addresses := &addressCache{target: t, lists: map[string]cachedList{}}
	samples := make([]Sample, len(arrivals))
	var completed atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	stopProgress := reportProgress(progress, &completed, len(arrivals), start)
	for k, a := range arrivals {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(a.At))):
		}
		wg.Go(func() {
			samples[k] = p.call(ctx, addresses, a, start.Add(a.At))
			completed.Add(1)
		})
	}
	wg.Wait()
	stopProgress()
	return samples
}

func reportProgress(progress Progress, completed *atomic.Int64, total int, start time.Time) func() {
	if progress == nil {
		return func() {}
	}
	quit := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				progress(int(completed.Load()), total, time.Since(start))
			}
		}
	}()
	return func() { close(quit) }
}

// call sends one call. It tries another entry if no answer came or if the error says
// that another entry can answer; calls that the system rejected for good are not
// repeated.
func (p *Profile) call(ctx context.Context, addresses *addressCache, a Arrival, arrivalTime time.Time) Sample {
	stream := p.Streams[a.Stream]
	class := p.Bundle.Classes[stream.Class]
	zone := addresses.target.Zones[a.Index%len(addresses.target.Zones)]
	req := p.newRequest(stream, a, addresses.target.Keys[a.Customer])
	sample := Sample{Arrival: a, Class: stream.Class}
	for sample.Attempts = 1; ; sample.Attempts++ {
		req.Address = addresses.address(ctx, a.Customer, zone, sample.Attempts-1)
		sendDelay := time.Since(arrivalTime)
		req.Deadline = class.Deadline.D() - sendDelay
		if req.Deadline <= 0 {
			req.Deadline = time.Millisecond
		}
		sample.Result = caller.Do(ctx, req)
		sample.FirstToken = sendDelay + sample.Result.FirstToken
		sample.Total = sendDelay + sample.Result.Total
		if sample.Attempts >= maxAttempts || ctx.Err() != nil || !retryable(sample.Result, class) {
			break
		}
		time.Sleep(retryDelay)
	}
	sample.Attained = sample.Result.Transport == nil && sample.Result.Error == nil && sample.Result.Correct && class.Attained(sample.FirstToken, sample.Total, sample.Result.Tokens)
	return sample
}

// retryable reports whether a caller should send the call to another entry.
func retryable(r *caller.Result, class bundle.Class) bool {
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

func (p *Profile) newRequest(stream Stream, a Arrival, key string) *caller.Request {
	r := &caller.Request{CustomerKey: key, Class: stream.Class, Stream: true}
	if stream.Keyed {
		r.IdempotencyKey = caller.NewIdempotencyKey()
	}
	if stream.Service != "" {
		r.Service, r.Path = stream.Service, "/do"
		r.Body = fmt.Appendf(nil, `{"call":%d}`, a.Index)
		return r
	}
	r.Model = stream.Model
	r.OutputTokens = a.OutputTokens
	r.MaxTokens = p.Bundle.Classes[stream.Class].MaxOutputTokens
	shared := strings.Repeat(fmt.Sprintf("%s-%d ", stream.Class, a.PrefixIndex), max(1, stream.PromptBytes/2/(len(stream.Class)+4)))
	unshared := strings.Repeat(fmt.Sprintf("call-%d ", a.Index), max(1, stream.PromptBytes/2/12))
	r.Prompt = []string{shared, unshared}
	return r
}

// Shed reports whether the system rejected the call without running it.
func (s *Sample) Shed() bool {
	return s.Result.Error != nil && s.Result.Outcome == state.OutcomeNotRun
}
