package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/crashserver"
)

// Config describes all fake servers of one process.
type Config struct {
	// ControlAddress is the IP:port of the API through which tests observe and adjust
	// the fake servers. Empty for none.
	ControlAddress string `toml:"control"`
	// Instances are the caller addresses of the instances that servers announce
	// themselves to until an instance replies with a list of its own.
	Instances []string        `toml:"instances"`
	Engines   []EngineConfig  `toml:"engines"`
	Services  []ServiceConfig `toml:"services"`
}

// LoadConfig reads a TOML file; unknown keys are errors.
func LoadConfig(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration of fake servers")
	}
	var c Config
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return nil, eris.Wrapf(err, "%s", file)
	}
	return &c, nil
}

const (
	announceTimeout         = 700 * time.Millisecond
	defaultAnnounceInterval = 250 * time.Millisecond
)

// Runner runs all fake servers of one process.
type Runner struct {
	cfg            *Config
	executions     ExecutionLog
	engines        map[string]*Engine
	mu             sync.Mutex
	retiredAt      map[string]time.Time
	lastNewRequest map[string]time.Time
	servers        map[string]*crashserver.Server
}

// crashDowntime is the time between a simulated crash and the restart.
const crashDowntime = time.Second

// NewRunner returns a runner that has not started its servers.
func NewRunner(cfg *Config) *Runner {
	return &Runner{cfg: cfg, engines: map[string]*Engine{}, retiredAt: map[string]time.Time{}, lastNewRequest: map[string]time.Time{},
		servers: map[string]*crashserver.Server{}}
}

// Run starts all servers and serves until the context ends.
func (runner *Runner) Run(ctx context.Context) error {
	for _, c := range runner.cfg.Engines {
		engine := NewEngine(c)
		runner.engines[c.ID] = engine
		if err := runner.listen(ctx, c.ID, c.Address, runner.trackRequests(c.ID, engine)); err != nil {
			return err
		}
		go engine.Run(ctx)
		go runner.announceLoop(ctx, runner.unlessCrashed(c.ID, runner.engineAnnouncements(engine)), c.Token)
	}
	for _, c := range runner.cfg.Services {
		service := NewService(c, &runner.executions)
		if err := runner.listen(ctx, c.ID, c.Address, runner.trackRequests(c.ID, service)); err != nil {
			return err
		}
		go runner.announceLoop(ctx, runner.unlessCrashed(c.ID, serviceAnnouncements(service)), c.Token)
	}
	if runner.cfg.ControlAddress != "" {
		if err := runner.listen(ctx, "control", runner.cfg.ControlAddress, runner.controlHandler()); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// trackRequests records when a server receives a new request, and crashes the server
// if the request contains the crash marker.
func (runner *Runner) trackRequests(id string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete || r.URL.Query().Get("offset") != "" {
			h.ServeHTTP(rw, r)
			return
		}
		runner.mu.Lock()
		runner.lastNewRequest[id] = time.Now()
		runner.mu.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if crashserver.TriggersCrash(body) {
			runner.crashServer(id).Crash(crashDowntime)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(rw, r)
	})
}

func (runner *Runner) crashServer(id string) *crashserver.Server {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.servers[id]
}

// unlessCrashed returns a server's announcements, or nil while the server is down after
// a crash.
func (runner *Runner) unlessCrashed(id string, next func() *api.Announcement) func() *api.Announcement {
	return func() *api.Announcement {
		if runner.crashServer(id).Down() {
			return nil
		}
		return next()
	}
}

func (runner *Runner) listen(ctx context.Context, id, address string, h http.Handler) error {
	s, err := crashserver.Start(address, h)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	runner.mu.Lock()
	runner.servers[id] = s
	runner.mu.Unlock()
	context.AfterFunc(ctx, s.Stop)
	return nil
}

func (runner *Runner) engineAnnouncements(e *Engine) func() *api.Announcement {
	return func() *api.Announcement {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			return nil
		}
		running, queued, ev := e.reportedLoad(time.Now())
		e.mu.Lock()
		loaded, slots, limit := e.loadedModel, e.cfg.Slots, e.requestLimit
		e.mu.Unlock()
		if loaded.loading {
			slots = 0
		}
		return &api.Announcement{Pool: e.cfg.Pool, ID: e.cfg.ID, Address: e.cfg.Address, Zone: e.cfg.Zone, Slots: slots, RequestsPerSecond: limit,
			Version: loaded.version, Adapters: loaded.adapters, Running: running, Queued: queued, CachedPrefixes: ev.cached, EvictedPrefixes: ev.evicted}
	}
}

func serviceAnnouncements(s *Service) func() *api.Announcement {
	return func() *api.Announcement {
		return &api.Announcement{Pool: s.cfg.Pool, ID: s.cfg.ID, Address: s.cfg.Address, Zone: s.cfg.Zone, Slots: s.cfg.Slots, Running: s.load()}
	}
}

// announceLoop announces a server periodically to one instance, and to the next one
// when an announcement fails.
func (runner *Runner) announceLoop(ctx context.Context, next func() *api.Announcement, token string) {
	addresses := runner.cfg.Instances
	for k := 0; ctx.Err() == nil; {
		pause := defaultAnnounceInterval
		if announcement := next(); announcement != nil {
			reply, err := announce(ctx, addresses[k%len(addresses)], announcement, token)
			switch {
			case err != nil:
				k++
			case reply != nil:
				runner.recordRetired(announcement.ID, reply.Retired)
				pause = time.Duration(reply.IntervalMillis) * time.Millisecond
				if len(reply.Addresses) > 0 {
					addresses, k = append(reply.Addresses, runner.cfg.Instances...), 0
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (runner *Runner) recordRetired(id string, retired bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if _, known := runner.retiredAt[id]; retired && !known {
		runner.retiredAt[id] = time.Now()
	}
}

func announce(ctx context.Context, address string, announcement *api.Announcement, token string) (*api.AnnouncementReply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+api.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("announce to %s: status %d", address, resp.StatusCode)
	}
	var r api.AnnouncementReply
	return &r, json.NewDecoder(resp.Body).Decode(&r)
}
