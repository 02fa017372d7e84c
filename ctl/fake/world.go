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

// Config describes all stand-ins of one process.
type Config struct {
	// Control is the IP:port of the page that tests steer the stand-ins with.
	Control string `toml:"control"`
	// Instances are caller addresses to announce to first.
	Instances []string        `toml:"instances"`
	Engines   []EngineConfig  `toml:"engines"`
	Services  []ServiceConfig `toml:"services"`
}

// LoadConfig reads a TOML file.
func LoadConfig(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read stand-in file")
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
	announceTimeout = 700 * time.Millisecond
	announcePause   = 250 * time.Millisecond
)

// World runs all stand-ins of one process.
type World struct {
	cfg     *Config
	ledger  Ledger
	engines map[string]*Engine
	mu      sync.Mutex
	retired map[string]time.Time
	starts  map[string]time.Time
	servers map[string]*crashserver.Server
}

// downtime passes between a crash and the next start.
const downtime = time.Second

// NewWorld prepares the stand-ins.
func NewWorld(cfg *Config) *World {
	return &World{cfg: cfg, engines: map[string]*Engine{}, retired: map[string]time.Time{}, starts: map[string]time.Time{},
		servers: map[string]*crashserver.Server{}}
}

// Run serves until the context ends.
func (w *World) Run(ctx context.Context) error {
	for _, c := range w.cfg.Engines {
		e := NewEngine(c)
		w.engines[c.ID] = e
		if err := w.listen(ctx, c.ID, c.Address, w.tracked(c.ID, e)); err != nil {
			return err
		}
		go e.Run(ctx)
		go w.announceLoop(ctx, w.whileUp(c.ID, w.engineAnnouncement(e)), c.Token)
	}
	for _, c := range w.cfg.Services {
		s := NewService(c, &w.ledger)
		if err := w.listen(ctx, c.ID, c.Address, w.tracked(c.ID, s)); err != nil {
			return err
		}
		go w.announceLoop(ctx, w.whileUp(c.ID, serviceAnnouncement(s)), c.Token)
	}
	if w.cfg.Control != "" {
		if err := w.listen(ctx, "control", w.cfg.Control, w.control()); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// tracked notes when a server last got new work, and crashes it if that work does so.
func (w *World) tracked(id string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete || r.URL.Query().Get("offset") != "" {
			h.ServeHTTP(rw, r)
			return
		}
		w.mu.Lock()
		w.starts[id] = time.Now()
		w.mu.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if crashserver.TriggersCrash(body) {
			w.server(id).Crash(downtime)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(rw, r)
	})
}

func (w *World) server(id string) *crashserver.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[id]
}

// whileUp returns announcements of a server while it has not crashed.
func (w *World) whileUp(id string, next func() *api.Announcement) func() *api.Announcement {
	return func() *api.Announcement {
		if w.server(id).Down() {
			return nil
		}
		return next()
	}
}

func (w *World) listen(ctx context.Context, id, address string, h http.Handler) error {
	s, err := crashserver.Start(address, h)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	w.mu.Lock()
	w.servers[id] = s
	w.mu.Unlock()
	context.AfterFunc(ctx, s.Stop)
	return nil
}

func (w *World) engineAnnouncement(e *Engine) func() *api.Announcement {
	return func() *api.Announcement {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			return nil
		}
		running, queued, ev := e.load(time.Now())
		e.mu.Lock()
		loaded, slots, limit := e.loaded, e.cfg.Slots, e.limit
		e.mu.Unlock()
		if loaded.loading {
			slots = 0
		}
		return &api.Announcement{Pool: e.cfg.Pool, ID: e.cfg.ID, Address: e.cfg.Address, Zone: e.cfg.Zone, Slots: slots, RequestsPerSecond: limit,
			Version: loaded.version, Adapters: loaded.adapters, Running: running, Queued: queued, CachedPrefixes: ev.cached, EvictedPrefixes: ev.evicted}
	}
}

func serviceAnnouncement(s *Service) func() *api.Announcement {
	return func() *api.Announcement {
		return &api.Announcement{Pool: s.cfg.Pool, ID: s.cfg.ID, Address: s.cfg.Address, Zone: s.cfg.Zone, Slots: s.cfg.Slots, Running: s.load()}
	}
}

// announceLoop announces a server to one instance at a time, moving on when
// that one does not answer.
func (w *World) announceLoop(ctx context.Context, next func() *api.Announcement, token string) {
	addresses := w.cfg.Instances
	for k := 0; ctx.Err() == nil; {
		pause := announcePause
		if m := next(); m != nil {
			reply, err := announce(ctx, addresses[k%len(addresses)], m, token)
			switch {
			case err != nil:
				k++
			case reply != nil:
				w.noteRetired(m.ID, reply.Retired)
				pause = time.Duration(reply.IntervalMillis) * time.Millisecond
				if len(reply.Addresses) > 0 {
					addresses, k = append(reply.Addresses, w.cfg.Instances...), 0
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *World) noteRetired(id string, retired bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.retired[id]; retired && !known {
		w.retired[id] = time.Now()
	}
}

func announce(ctx context.Context, address string, m *api.Announcement, token string) (*api.AnnouncementReply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(m)
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
