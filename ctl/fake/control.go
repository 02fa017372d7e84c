package fake

import (
	"encoding/json"
	"net/http"
	"time"
)

// State is the answer to GET /state: what the fake servers have observed.
type State struct {
	Engines map[string]EngineState `json:"engines"`
	// LastNewRequest is when each server last received a request other than a
	// cancellation or the resumption of a stream.
	LastNewRequest map[string]time.Time `json:"last_start"`
	// Retired is when each retired server first learned of it from a reply.
	Retired map[string]time.Time `json:"retired"`
	// Crashes are the times at which calls crashed each server.
	Crashes map[string][]time.Time `json:"crashes"`
}

// EngineState holds one engine's counters.
type EngineState struct {
	Running         int   `json:"running"`
	Queued          int   `json:"queued"`
	GeneratedTokens int64 `json:"generated_tokens"`
	Requests        int   `json:"requests"`
	// CancelledTokens were generated for calls that were cancelled or abandoned.
	CancelledTokens int64 `json:"cancelled_tokens"`
	// Version is the loaded version, empty if none was ordered.
	Version string `json:"version"`
	// Orders are all received orders, refused ones included, in the order of arrival.
	Orders []ReceivedOrder `json:"orders"`
}

// EngineAdjustment changes how one engine behaves. It is the body of POST /steer.
type EngineAdjustment struct {
	Engine string `json:"engine"`
	// Slowdown multiplies the time of each step; 1 is normal, 0 leaves it unchanged.
	Slowdown float64 `json:"slowdown"`
	// Down makes the engine abort all requests and stop announcing itself.
	Down bool `json:"down"`
	// RequestsPerSecond is the request limit that the engine announces from now on,
	// nil for none.
	RequestsPerSecond *float64 `json:"requests_per_second,omitempty"`
	// ReportLagMillis delays the engine's load reports; nil leaves the delay unchanged.
	ReportLagMillis *int `json:"report_lag_ms,omitempty"`
}

func (runner *Runner) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(rw http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(rw).Encode(runner.State()) })
	mux.HandleFunc("GET /runs", func(rw http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(rw).Encode(runner.executions.Executions(r.URL.Query().Get("key")))
	})
	mux.HandleFunc("POST /steer", func(rw http.ResponseWriter, r *http.Request) {
		var a EngineAdjustment
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if !runner.adjustEngine(a) {
			http.Error(rw, "no such engine", http.StatusNotFound)
		}
	})
	return mux
}

// State returns the state of all servers.
func (runner *Runner) State() State {
	out := State{Engines: map[string]EngineState{}, LastNewRequest: map[string]time.Time{}, Retired: map[string]time.Time{}, Crashes: map[string][]time.Time{}}
	for id, e := range runner.engines {
		e.mu.Lock()
		out.Engines[id] = EngineState{Running: len(e.running), Queued: len(e.waiting), GeneratedTokens: e.generatedTokens, Requests: e.requestCount, CancelledTokens: e.cancelledTokens,
			Version: e.loadedModel.version, Orders: append([]ReceivedOrder(nil), e.orders...)}
		e.mu.Unlock()
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for k, v := range runner.lastNewRequest {
		out.LastNewRequest[k] = v
	}
	for k, v := range runner.retiredAt {
		out.Retired[k] = v
	}
	for k, s := range runner.servers {
		out.Crashes[k] = s.Crashes()
	}
	return out
}

func (runner *Runner) adjustEngine(a EngineAdjustment) bool {
	e := runner.engines[a.Engine]
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Slowdown > 0 {
		e.slowdown = a.Slowdown
	}
	if a.ReportLagMillis != nil {
		e.cfg.ReportLagMillis = *a.ReportLagMillis
	}
	e.down, e.requestLimit = a.Down, a.RequestsPerSecond
	if a.Down {
		for _, x := range append(e.running, e.waiting...) {
			e.finish(time.Now(), x)
		}
		e.running, e.waiting = nil, nil
	}
	return true
}
