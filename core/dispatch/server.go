package dispatch

import (
	"math"
	"sort"
	"time"

	"cardamomwick.example/core/ratelimit"
)

// Parameters of server selection; docs/POLICY.md has the measurements behind them.
const (
	// ServerTTL is how long an announcement is valid.
	ServerTTL = 3 * time.Second
	// maxReportLag is the most by which a server's load report may lag.
	maxReportLag = 3 * time.Second
	// peakInterval is the resolution at which the load is remembered over maxReportLag.
	peakInterval  = 250 * time.Millisecond
	peakIntervals = int(maxReportLag / peakInterval)
	// tokenRateAlpha is the weight of a new sample in the moving average of the token
	// rate.
	tokenRateAlpha = 0.4
	// stragglerSpeed is the fraction of the pool's median token rate below which a
	// server counts as a straggler.
	stragglerSpeed = 0.6
	// maxPrefixBonus is the most by which a cached prefix lowers the cost, as a
	// fraction of a full server's load.
	maxPrefixBonus = 0.3
	// prefixHalfLife is the half-life of the assumption that an announced prefix is
	// still cached.
	prefixHalfLife = 60 * time.Second
	// maxPrefixes is the most cached prefixes remembered of one server.
	maxPrefixes     = 4096
	minFaultBackoff = 500 * time.Millisecond
	maxFaultBackoff = 10 * time.Second
)

// server is the dispatcher's state of a backend server.
type server struct {
	ServerInfo
	lastAnnounced time.Time
	granted       int
	// peaks is a ring buffer of the highest granted count per peakInterval: a lagging
	// report may describe the load at any time within maxReportLag.
	peaks     [peakIntervals]int
	peakIndex int64
	otherLoad int
	// tokenRate is the moving average of tokens per second of a generating stream.
	tokenRate float64
	// speed is tokenRate relative to the pool's median, at most 1.
	speed             float64
	consecutiveFaults int
	blockedUntil      time.Time
	// requestBucket limits the requests to a server that has announced a limit.
	requestBucket ratelimit.Bucket
	prefixes      map[uint64]time.Time
}

func newServer(info ServerInfo) *server {
	return &server{ServerInfo: info, speed: 1, prefixes: map[uint64]time.Time{}}
}

// recordPeak updates the peak of the current interval.
func (s *server) recordPeak(now time.Time) {
	interval := now.UnixMilli() / peakInterval.Milliseconds()
	for s.peakIndex < interval {
		s.peakIndex = max(s.peakIndex+1, interval-int64(peakIntervals))
		s.peaks[s.peakIndex%int64(peakIntervals)] = s.granted
	}
	i := interval % int64(peakIntervals)
	s.peaks[i] = max(s.peaks[i], s.granted)
}

// update applies an announcement. Reported load above the highest number of slots
// that this dispatcher had granted within maxReportLag comes from other senders.
func (s *server) update(now time.Time, info ServerInfo) {
	s.recordPeak(now)
	highest := 0
	for _, p := range s.peaks {
		highest = max(highest, p)
	}
	s.otherLoad = max(0, info.Running+info.Queued-highest)
	for _, h := range info.Cached {
		if len(s.prefixes) < maxPrefixes {
			s.prefixes[h] = now
		}
	}
	for _, h := range info.Evicted {
		delete(s.prefixes, h)
	}
	info.Cached, info.Evicted = nil, nil
	if s.RequestsPerSecond == nil && info.RequestsPerSecond != nil {
		s.requestBucket = ratelimit.NewBucket(now, 0)
	}
	s.ServerInfo = info
	s.lastAnnounced = now
}

func (s *server) acquire(now time.Time) {
	s.granted++
	s.recordPeak(now)
}

func (s *server) release(now time.Time) {
	s.granted = max(0, s.granted-1)
	s.recordPeak(now)
}

// limit returns how many calls the server may run now. A straggler keeps a few
// slots for probes, whose token rate shows when it has recovered.
func (s *server) limit() int {
	if s.speed >= stragglerSpeed {
		return s.Slots
	}
	return max(min(1, s.Slots), int(float64(s.Slots)*s.speed*s.speed*s.speed))
}

// used returns the number of slots in use.
func (s *server) used() int { return s.granted + s.otherLoad }

// usable reports whether the server's announcement is valid and no fault blocks it.
func (s *server) usable(now time.Time) bool {
	return now.Sub(s.lastAnnounced) <= ServerTTL && !now.Before(s.blockedUntil)
}

// allowsRequest reports whether the server's announced limit allows a request now.
func (s *server) allowsRequest(now time.Time) bool {
	return s.RequestsPerSecond == nil || s.requestBucket.Tokens(now, *s.RequestsPerSecond) >= 1
}

// chargeRequests takes the tokens of a number of requests. The bucket may go below
// zero, which delays the next requests.
func (s *server) chargeRequests(now time.Time, requests int) {
	if s.RequestsPerSecond != nil {
		s.requestBucket.Charge(now, *s.RequestsPerSecond, requests)
	}
}

// recordFault blocks a failing server with exponential backoff.
func (s *server) recordFault(now time.Time) {
	s.consecutiveFaults++
	d := float64(minFaultBackoff) * math.Pow(2, float64(min(s.consecutiveFaults-1, 8)))
	s.blockedUntil = now.Add(time.Duration(math.Min(d, float64(maxFaultBackoff))))
}

// observeProgress adds an entry's progress report to the moving average of the token
// rate. Reports of less than 100 ms are ignored.
func (s *server) observeProgress(tokens int, busy time.Duration) {
	if busy < 100*time.Millisecond {
		return
	}
	tokenRate := float64(tokens) / busy.Seconds()
	if s.tokenRate == 0 {
		s.tokenRate = tokenRate
		return
	}
	s.tokenRate += tokenRateAlpha * (tokenRate - s.tokenRate)
}

// prefixMatch returns the fraction of a prompt's blocks that is expected to be
// cached, reduced with the age of the cache event.
func (s *server) prefixMatch(now time.Time, prefixes []uint64) float64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if at, ok := s.prefixes[prefixes[i]]; ok {
			confidence := math.Exp2(-float64(now.Sub(at)) / float64(prefixHalfLife))
			return confidence * float64(i+1) / float64(len(prefixes))
		}
	}
	return 0
}

// cost rates a server for a ticket by its load, speed and cached prefixes; lower is
// better.
func (s *server) cost(now time.Time, t *Ticket) float64 {
	load := float64(s.used()+1) / float64(max(1, s.Slots))
	return load/math.Max(s.speed, 0.05) - maxPrefixBonus*s.prefixMatch(now, t.Prefixes)
}

// updateSpeeds sets each server's speed from the median token rate. Fewer than three
// servers with a known rate give no meaningful median.
func updateSpeeds(servers []*server) {
	var rates []float64
	for _, s := range servers {
		if s.tokenRate > 0 {
			rates = append(rates, s.tokenRate)
		}
	}
	if len(rates) < 3 {
		return
	}
	sort.Float64s(rates)
	median := rates[len(rates)/2]
	for _, s := range servers {
		if s.tokenRate > 0 {
			s.speed = math.Min(1, s.tokenRate/median)
		}
	}
}
