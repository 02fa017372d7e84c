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

// ServiceConfig describes a fake plain service.
type ServiceConfig struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"availability_zone"`
	Pool    string `toml:"pool"`
	Token   string `toml:"token"`
	// Slots is the number of concurrent calls that the service announces.
	Slots int `toml:"slots"`
	// DelayMillis is the duration of one call.
	DelayMillis int `toml:"delay_ms"`
}

const maxServiceBodyBytes = 4 << 20

// Execution is one execution of a call at a service.
type Execution struct {
	Key    string    `json:"key"`
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// ExecutionLog records the executions at all services of a process, so that tests can
// tell whether a call ran more than once.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

func (l *ExecutionLog) record(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	count := 0
	for _, x := range l.executions {
		if x.Key == e.Key {
			count++
		}
	}
	return count
}

// Executions returns the executions of a key, or all of them for an empty key.
func (l *ExecutionLog) Executions(key string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Execution{}
	for _, e := range l.executions {
		if key == "" || e.Key == key {
			out = append(out, e)
		}
	}
	return out
}

// Service is a fake plain service.
type Service struct {
	cfg         ServiceConfig
	executions  *ExecutionLog
	mu          sync.Mutex
	activeCalls int
}

// NewService returns a service that records its executions in a log.
func NewService(cfg ServiceConfig, l *ExecutionLog) *Service {
	return &Service{cfg: cfg, executions: l}
}

// ServiceResponse is the body of a service's answer. It lets the caller check that the
// answer belongs to its request.
type ServiceResponse struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Digest string `json:"digest"`
	// Run counts the executions of the key, starting at 1.
	Run int `json:"run"`
}

// Digest identifies a request body in answers.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// requestedBehaviour returns the behaviour that a call asks for in its body, since
// callers' headers are not forwarded. The JSON field "fake" is "refuse" (status 503, not
// started), "refuse-first" (the same on the first attempt only), "hang" (execute and
// never answer), "break" (execute and close the connection) or "fail" (execute and
// answer with status 500).
func requestedBehaviour(body []byte) (behaviour string, delay time.Duration) {
	var b struct {
		Fake  string `json:"fake"`
		Delay int    `json:"delay_ms"`
	}
	if json.Unmarshal(body, &b) != nil {
		return "", 0
	}
	return b.Fake, time.Duration(b.Delay) * time.Millisecond
}

// ServeHTTP executes one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBodyBytes))
	if err != nil {
		return
	}
	behaviour, delay := requestedBehaviour(body)
	if behaviour == "refuse" || (behaviour == "refuse-first" && r.Header.Get(api.HeaderAttempt) == "1") {
		w.Header().Set(api.HeaderNotStarted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.addActiveCalls(1)
	defer s.addActiveCalls(-1)
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if key == "" {
		key = "request:" + r.Header.Get(api.HeaderRequestID)
	}
	executionCount := s.executions.record(Execution{key, s.cfg.ID, time.Now()})
	if delay == 0 {
		delay = time.Duration(s.cfg.DelayMillis) * time.Millisecond
	}
	if behaviour == "hang" {
		<-r.Context().Done()
		return
	}
	time.Sleep(delay)
	switch behaviour {
	case "break":
		panic(http.ErrAbortHandler)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Run", strconv.Itoa(executionCount))
	_ = json.NewEncoder(w).Encode(ServiceResponse{s.cfg.ID, r.URL.RequestURI(), Digest(body), executionCount})
}

func (s *Service) addActiveCalls(d int) {
	s.mu.Lock()
	s.activeCalls += d
	s.mu.Unlock()
}

func (s *Service) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeCalls
}
