package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cardamomwick.example/core/api"
)

// ServiceConfig describes a stand-in plain service.
type ServiceConfig struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"availability_zone"`
	Pool    string `toml:"pool"`
	Token   string `toml:"token"`
	// Slots is how many calls it takes at once.
	Slots int `toml:"slots"`
	// DelayMillis is the time of one call.
	DelayMillis int `toml:"delay_ms"`
}

// maxServiceBody bounds a call.
const (
	maxServiceBody = 4 << 20
)

// Run is one execution at a service.
type Run struct {
	Key    string    `json:"key"`
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// Ledger counts executions over all services of a process.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) add(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	n := 0
	for _, x := range l.runs {
		if x.Key == r.Key {
			n++
		}
	}
	return n
}

// Runs returns the executions of a key, or all for "".
func (l *Ledger) Runs(key string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Run{}
	for _, r := range l.runs {
		if key == "" || r.Key == key {
			out = append(out, r)
		}
	}
	return out
}

// Service is a stand-in plain service.
type Service struct {
	cfg    ServiceConfig
	ledger *Ledger
	mu     sync.Mutex
	active int
}

// NewService returns a service that books its runs in the ledger.
func NewService(cfg ServiceConfig, l *Ledger) *Service { return &Service{cfg: cfg, ledger: l} }

// ServiceAnswer is what a service answers: enough to check that it belongs to
// the request.
type ServiceAnswer struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Digest string `json:"digest"`
	// Run is 1 for the first execution of the key.
	Run int `json:"run"`
}

// Digest identifies a request body in answers.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// behaviour of a call comes with its body, since headers of callers are not
// passed on. The JSON field "fake" is "refuse" or "refuse-first" (503, not
// started; the latter on the first attempt only), "hang" (run, never answer),
// "break" (run, cut the connection) or "fail" (run, then 500).
func behaviour(body []byte) (kind string, delay time.Duration) {
	var b struct {
		Fake  string `json:"fake"`
		Delay int    `json:"delay_ms"`
	}
	if json.Unmarshal(body, &b) != nil {
		return "", 0
	}
	return b.Fake, time.Duration(b.Delay) * time.Millisecond
}

// ServeHTTP runs one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBody))
	if err != nil {
		return
	}
	kind, delay := behaviour(body)
	if kind == "refuse" || (kind == "refuse-first" && r.Header.Get(api.HeaderAttempt) == "1") {
		w.Header().Set(api.HeaderNotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.count(1)
	defer s.count(-1)
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if key == "" {
		key = "request:" + r.Header.Get(api.HeaderRequestID)
	}
	n := s.ledger.add(Run{key, s.cfg.ID, time.Now()})
	if delay == 0 {
		delay = time.Duration(s.cfg.DelayMillis) * time.Millisecond
	}
	if kind == "hang" {
		<-r.Context().Done()
		return
	}
	time.Sleep(delay)
	switch kind {
	case "break":
		panic(http.ErrAbortHandler)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Run", strconv.Itoa(n))
	_ = json.NewEncoder(w).Encode(ServiceAnswer{s.cfg.ID, r.URL.RequestURI(), Digest(body), n})
}

func (s *Service) count(d int) {
	s.mu.Lock()
	s.active += d
	s.mu.Unlock()
}

func (s *Service) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}
