package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/quarantine"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
	"cardamomwick.example/daemon/upstream"
)

// Methods of the frames between managers.
const (
	methodCrashReports = "quarantine.endings"
	methodDecisions    = "quarantine.rulings"
	methodSuccess      = "quarantine.success"
	// methodPartReports has a name of its own: earlier builds would take the parts for requests.
	methodPartReports = "quarantine.parts"
)

const (
	// gossipPeriod is the time between two messages with known decisions, each to one
	// random instance: an instance that was started or reconnected learns the decisions
	// after a few of them. With eight decisions of 30 to 200 bytes this is at most 3 KB/s,
	// and nothing while there are no decisions.
	gossipPeriod = 500 * time.Millisecond
	// persistTimeout bounds the commit of a decision. The group may have no leader for
	// some seconds; the decision is in force meanwhile.
	persistTimeout = 10 * time.Second
)

// Options configures a Manager.
type Options struct {
	// Transport connects the manager with the other instances; nil for a single instance.
	Transport *frame.Transport
	// Instances returns all instances, this one included. Evaluators returns those that
	// may evaluate crash reports: entries, which have more spare capacity than replicas.
	Instances, Evaluators func() []membership.Instance
	// Log stores holds so that they survive a restart of all instances; nil to store none.
	Log Log
	// Dial opens connections to servers that are checked; nil selects TCP.
	Dial upstream.Dialer
	// Reaches reports whether this instance reaches the other servers of a server's pool, or
	// has done so since a time; nil if that is not known.
	Reaches func(ctx context.Context, server string, since time.Time) bool
}

// Log is the replicated log; replica.Client implements it.
type Log interface {
	Propose(ctx context.Context, c *state.Command) (state.Result, error)
}

// Manager is one instance's part of the quarantine: it reports the server crashes seen at
// this instance, evaluates the reports on the requests assigned to it, and knows all
// decisions. It is a suture service. Safe for concurrent use.
type Manager struct {
	opt    Options
	prober *prober
	// decisions is the number of known decisions. While it is 0 no request is looked up.
	decisions atomic.Int64
	// crashes counts the servers that were found to have terminated during calls.
	crashes atomic.Int64
	// verdicts counts what peers said about servers that this instance can't reach.
	verdicts verdicts
	// probesForPeers is the number of probes for other instances in progress.
	probesForPeers atomic.Int64

	mu        sync.Mutex
	suspects  suspects
	successes *quarantine.Successes
	// answered remembers the latest answer begun on each prompt part.
	answered  *quarantine.Successes
	survivals *quarantine.Survivals
	registry  *quarantine.Registry
	evaluator *quarantine.Evaluator
	// lastTrials has the time at which this instance last asked for a trial.
	lastTrials   map[quarantine.Digest]time.Time
	partMessages messageBucket
}

// New returns a manager and registers its frame handlers.
func New(o Options) *Manager {
	r := quarantine.NewRegistry()
	m := &Manager{opt: o, suspects: suspects{}, successes: quarantine.NewSuccesses(), answered: quarantine.NewSuccesses(), survivals: quarantine.NewSurvivals(),
		registry: r, evaluator: quarantine.NewEvaluator(r), lastTrials: map[quarantine.Digest]time.Time{}}
	m.prober = newProber(o.Dial, m.reportUnreached)
	if t := o.Transport; t != nil {
		t.HandleOneWay(methodCrashReports, m.handleCrashReports)
		t.HandleOneWay(methodPartReports, m.handlePartReports)
		t.HandleOneWay(methodDecisions, m.handleDecisions)
		t.HandleOneWay(methodSuccess, m.handleSuccess)
		t.HandleOneWay(methodSurvivals, m.handleSurvivals)
		t.HandleRequest(methodProbe, m.handleProbe)
		t.HandleRequest(methodTrial, m.handleTrial)
	}
	return m
}

// String names the service in the supervisor's log.
func (m *Manager) String() string { return "quarantine" }

// Serve sends known decisions to other instances until the context ends.
func (m *Manager) Serve(ctx context.Context) error {
	return loop.Every(ctx, gossipPeriod, func(time.Time) { m.gossip(time.Now()) })
}

// HeldRequests returns the number of held requests and prompt parts.
func (m *Manager) HeldRequests() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Held(time.Now())
}

// ProbeResults returns the number of probes of servers by result.
func (m *Manager) ProbeResults() map[string]int64 {
	out := map[string]int64{}
	for r := range probeResults {
		out[r.String()] = m.prober.results[r].Load()
	}
	return out
}

// Verdicts returns the number of servers that this instance could not reach by what its peers
// said about them.
func (m *Manager) Verdicts() map[string]int64 {
	out := map[string]int64{}
	for v := range m.verdicts {
		out[verdict(v).String()] = m.verdicts[v].Load()
	}
	return out
}

// Crashes returns the number of server crashes found at this instance.
func (m *Manager) Crashes() int64 { return m.crashes.Load() }

// Timing of the wait for a decision.
const (
	// decisionTimeout covers the confirmation of the last crash, the transmission of its
	// report and the evaluation. A request that is still suspected then proceeds: no
	// server has crashed while running it since.
	decisionTimeout  = 300 * time.Millisecond
	decisionInterval = 10 * time.Millisecond
)

// AwaitDecision waits while a request or a part of its prompt is suspected; call it before a
// retry. Otherwise a request that crashes its servers would be retried while its evaluators still
// wait for reports of successes. prompt is nil without one. It returns false when the context has
// ended.
func (m *Manager) AwaitDecision(ctx context.Context, request func() quarantine.Digest, prompt *Prompt) bool {
	for until := time.Now().Add(decisionTimeout); (m.suspected(request) || m.suspectsPart(prompt)) && time.Now().Before(until); {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(decisionInterval):
		}
	}
	return ctx.Err() == nil
}

func (m *Manager) suspected(request func() quarantine.Digest) bool {
	x, known := m.decision(request)
	return known && x.Status == quarantine.Suspected
}

// decision returns the decision on a request. The digest is only computed while there are
// decisions.
func (m *Manager) decision(request func() quarantine.Digest) (quarantine.Decision, bool) {
	if m.decisions.Load() == 0 {
		return quarantine.Decision{}, false
	}
	d := request()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Decision(time.Now(), d)
}

// Run is one run of a request at a server.
type Run struct {
	// Server is the ID of the server process, or of the server if it keeps its ID over
	// restarts (KeepsID). Address is where it listens.
	Server  string
	KeepsID bool
	Address string
	Began   time.Time
	// Reached reports that the server's process itself, and not only a proxy, was running
	// when the run began.
	Reached bool
	// Prompt is set while the server has not shown yet that it can answer the prompt.
	Prompt *Prompt
	// AnswerBegan is when the first event of the answer arrived.
	AnswerBegan time.Time
}

// RecordSuccess records that a server has completed a run. RecordAnswerBegun records what that
// shows of its prompt.
func (m *Manager) RecordSuccess(r Run, request quarantine.Digest) {
	m.mu.Lock()
	m.suspects.recordResponse(time.Now(), r.Server, r.KeepsID)
	m.successes.Record(request, r.Began)
	x, known := m.registry.Decision(time.Now(), request)
	m.mu.Unlock()
	if known && x.Status != quarantine.Cleared {
		m.reportSuccess(request)
	}
}

// RecordBroken records that a run broke for a reason that lies neither with this instance
// nor with the caller, and probes whether the server has terminated.
func (m *Manager) RecordBroken(r Run, request quarantine.Digest) {
	now := time.Now()
	m.mu.Lock()
	m.suspects.add(now, r.Server, brokenRun{request, r.Prompt, r.KeepsID, r.Reached, r.Began, now})
	terminated := m.suspects.terminatedSince(r.Server, r.Began)
	m.mu.Unlock()
	if terminated {
		m.reportTerminated(r.Server, alreadyConfirmed)
		return
	}
	m.prober.start(r.Server, r.Address)
}
