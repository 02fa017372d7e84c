// Package daemon assembles the services of cardamomwickd into a supervisor tree,
// runs it and shuts it down in order.
package daemon

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/daemon/admin"
	"cardamomwick.example/daemon/backend"
	"cardamomwick.example/daemon/baseline"
	"cardamomwick.example/daemon/dispatcher"
	"cardamomwick.example/daemon/entry"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/gossip"
	"cardamomwick.example/daemon/inbound"
	"cardamomwick.example/daemon/lease"
	"cardamomwick.example/daemon/placement"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/scheduler"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/daemon/telemetry"
)

// drainGossipMargin is the time in which gossip spreads to all instances that this one is
// draining. It is added to the address list's time to live.
const drainGossipMargin = 500 * time.Millisecond

// Daemon is an instance that applies signed bundles. Instances with declared routes are
// of type Routed.
type Daemon struct {
	settings   *settings.Settings
	transport  *frame.Transport
	gossip     *gossip.Service
	replica    *replica.Replica
	replicas   *replica.Client
	holder     *lease.Holder
	dispatcher *dispatcher.Service
	scheduler  *scheduler.Scheduler
	slots      entry.Slots
	quarantine *quarantine.Manager
	entry      *entry.Entry
	admin      *admin.Admin
	placement  *placement.Service
	metrics    *telemetry.Metrics
	guard      *inbound.Guard
	answers    *membudget.Pool
	listener   *httpListener
}

// New builds an instance from validated settings.
func New(s *settings.Settings) (*Daemon, error) {
	backend.ConfigureTransport()
	process := uuid.NewString()[:8]
	keys, err := frameKeys(s.Peers.Keys)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, metrics: telemetry.New(), guard: newGuard(s), answers: newAnswerMemory(s)}
	d.transport = newTransport(s, keys, d.guard)
	self := membership.Instance{Name: s.Instance.Name, Process: process, PeerAddress: s.Peers.Address,
		CallerAddress: s.Callers.Address, Zone: s.Instance.AvailabilityZone}
	d.gossip = gossip.New(d.transport, self, s.Peers.Seeds)
	directory := replica.NewFixedDirectory(s.Replicas.Addresses)
	if s.Instance.DataFolder != "" {
		d.replica, err = replica.New(replica.Options{Transport: d.transport, Folder: s.Instance.DataFolder,
			Directory: directory, Operators: s.Trust.Operators})
		if err != nil {
			return nil, eris.Wrap(err, "start replica")
		}
	}
	d.replicas = replica.NewClient(d.transport, directory)
	d.holder = lease.New(d.replicas, d.gossip.SetIsolated)
	d.holder.SetSource(lease.NewRelay(d.transport, d.gossip, d.replicas, d.holder))
	d.dispatcher = dispatcher.New(d.transport)
	d.holder.OnChange(d.dispatcher.SetConfig)
	d.scheduler = scheduler.New(d.transport, d.gossip, process)
	experiment := s.Experiment.Baseline != ""
	d.slots = d.scheduler
	if experiment {
		d.slots = baseline.New(s.Experiment.Baseline, d.transport)
	}
	d.quarantine = quarantine.New(quarantine.Options{Transport: d.transport, Instances: d.gossip.Instances, Evaluators: d.gossip.Entries})
	d.entry = entry.New(entry.Options{Settings: s, Holder: d.holder, Gossip: d.gossip, Scheduler: d.slots,
		Replicas: d.replicas, Metrics: d.metrics, AnswerMemory: d.answers, Quarantine: d.quarantine, Owner: self.Owner(), BroadcastAnnouncements: experiment, IgnoreTiers: experiment})
	d.admin = &admin.Admin{Settings: s, Holder: d.holder, Gossip: d.gossip, Replicas: d.replicas, Transport: d.transport, LocalInfo: d.info}
	d.admin.Register()
	d.placement = &placement.Service{Owner: self.Owner(), Gossip: d.gossip, Holder: d.holder, Replicas: d.replicas, Servers: d.admin.ServerList}
	d.registerGauges()
	d.listener, err = d.newListener()
	return d, err
}

// newGuard returns the account of what clients make the process hold.
func newGuard(s *settings.Settings) *inbound.Guard {
	t := s.Tuning()
	return inbound.New(t.MemoryBytes, t.MaxDescriptors)
}

// answerShare is the part of the machine's memory, as its inverse, that answers of servers may hold.
const answerShare = 8

// newAnswerMemory returns the memory that the answers of servers may hold together.
func newAnswerMemory(s *settings.Settings) *membudget.Pool {
	return membudget.NewPool(s.Tuning().MemoryBytes / answerShare)
}

func newTransport(s *settings.Settings, keys []frame.Key, g *inbound.Guard) *frame.Transport {
	t := frame.NewTransport(s.Peers.Address, keys, newPartitionFilter(s.Faults.CutFile))
	t.SetListener(g.ListenForPeers)
	if s.Peers.Listen != "" {
		t.SetListen(s.Peers.Listen)
	}
	return t
}

func frameKeys(list []settings.FrameKey) ([]frame.Key, error) {
	var out []frame.Key
	for _, k := range list {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil {
			return nil, eris.Wrapf(err, "frame key %s", k.ID)
		}
		out = append(out, frame.Key{ID: k.ID, Secret: secret})
	}
	return out, nil
}

// Reload applies the settings that may change without a restart: the frame keys and the
// log level.
func (d *Daemon) Reload(s *settings.Settings) error {
	keys, err := frameKeys(s.Peers.Keys)
	if err != nil {
		return err
	}
	d.transport.SetKeys(keys)
	log.SetLevelFromString(s.Log.Level)
	log.WithField("keys", len(keys)).Info("settings reloaded")
	return nil
}

func supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		log.WithFields(log.Fields{"step": "supervise", "supervisor": name}).Warn(e.String())
	}, Timeout: stopTimeout + leadershipTransferTimeout})
}

// leadershipTransferTimeout is the time that a stopping leader has to transfer the
// leadership of the replica group.
const leadershipTransferTimeout = 3 * time.Second

// tree builds the supervisor tree. The transport is not part of it, since it must outlive
// all other services.
func (d *Daemon) tree() *suture.Supervisor {
	root := supervisor("instance")
	if d.replica != nil {
		root.Add(d.replica)
	}
	control := supervisor("control")
	control.Add(d.gossip)
	control.Add(d.holder)
	control.Add(d.quarantine)
	root.Add(control)
	work := supervisor("work")
	work.Add(d.dispatcher)
	work.Add(d.scheduler)
	work.Add(d.entry)
	work.Add(d.placement)
	work.Add(d.listener)
	root.Add(work)
	return root
}

// Run serves until stop is done, then drains and shuts down. It returns nil after a
// graceful shutdown.
func (d *Daemon) Run(stop context.Context) error {
	return runTree(stop, d.transport, d.tree(), log.Fields{"callers": d.settings.Callers.Address, "peers": d.settings.Peers.Address,
		"zone": d.settings.Instance.AvailabilityZone, "replica": d.replica != nil}, d.drain)
}

// drain removes the instance from the address list and keeps serving while callers may
// still use a cached list. Then it refuses new calls and waits for those in flight.
func (d *Daemon) drain() error {
	d.gossip.SetDraining()
	log.WithField("in_flight", d.entry.InFlight()).Info("draining")
	time.Sleep(d.settings.Callers.AddressTTL.D() + drainGossipMargin)
	d.entry.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Tuning().DrainTimeout)
	defer cancel()
	if err := d.entry.Wait(ctx); err != nil {
		return fmt.Errorf("%d calls were still in flight at drain_timeout: %w", d.entry.InFlight(), err)
	}
	return nil
}

func (d *Daemon) info() api.InstanceInfo {
	cfg := d.holder.Config()
	waiting, running := d.slots.Load()
	out := api.InstanceInfo{Name: d.settings.Instance.Name, Zone: d.settings.Instance.AvailabilityZone, Address: d.settings.Callers.Address,
		Generation: cfg.Generation, LeaseFresh: d.holder.Fresh(), Draining: d.gossip.Draining(), InFlight: d.entry.InFlight(),
		Waiting: waiting, Running: running, Replica: d.replica != nil}
	if cfg.Bundle != nil {
		out.BundleVersion = cfg.Bundle.Version
	}
	return out
}

func (d *Daemon) registerGauges() {
	registerGuardGauges(d.metrics, d.guard)
	registerAnswerGauges(d.metrics, d.answers)
	d.metrics.Gauge("cardamomwick_generation", func() float64 { return float64(d.holder.Config().Generation) })
	d.metrics.Gauge("cardamomwick_requests_held", func() float64 { return float64(d.quarantine.HeldRequests()) })
	d.metrics.Gauge("cardamomwick_servers_ended_total", func() float64 { return float64(d.quarantine.Crashes()) })
	d.metrics.Gauge("cardamomwick_lease_fresh", func() float64 {
		if d.holder.Fresh() {
			return 1
		}
		return 0
	})
	d.metrics.Gauge("cardamomwick_waiting", func() float64 { w, _ := d.slots.Load(); return float64(w) })
	d.metrics.Gauge("cardamomwick_running", func() float64 { _, r := d.slots.Load(); return float64(r) })
	d.metrics.Gauge("cardamomwick_instances", func() float64 { return float64(len(d.gossip.Instances())) })
	d.metrics.Gauge("cardamomwick_bad_frames_total", func() float64 { return float64(d.transport.BadFrames.Load()) })
	d.metrics.Gauge("cardamomwick_handler_panics_total", func() float64 { return float64(d.transport.Panics.Load()) })
	d.metrics.Gauge("cardamomwick_silent_connections_total", func() float64 { return float64(d.transport.Silent.Load()) })
	d.metrics.Gauge("cardamomwick_frame_bytes_sent_total", func() float64 { return float64(d.transport.BytesSent.Load()) })
	d.metrics.Gauge("cardamomwick_frames_sent_total", func() float64 { return float64(d.transport.MessagesSent.Load()) })
}

// health answers 200 while the instance accepts new calls, otherwise 503 with the reason.
func (d *Daemon) health(w http.ResponseWriter, _ *http.Request) {
	status, state := http.StatusOK, "ready"
	switch {
	case d.gossip.Draining():
		status, state = http.StatusServiceUnavailable, "draining"
	case !d.holder.Fresh():
		status, state = http.StatusServiceUnavailable, "isolated"
	case d.holder.Config().Bundle == nil:
		status, state = http.StatusServiceUnavailable, "no_bundle"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, "{\"state\":%q}\n", state)
}

func (d *Daemon) metricsPage(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if d.settings.Metrics.Token == "" || token != d.settings.Metrics.Token {
		http.Error(w, "metrics need the token of the settings", http.StatusUnauthorized)
		return
	}
	d.metrics.Write(w)
	for pool, v := range d.dispatcher.View() {
		for _, c := range v.Classes {
			fmt.Fprintf(w, "cardamomwick_dispatcher_waiting{pool=%q,class=%q} %d\n", pool, c.Class, c.Waiting)
			fmt.Fprintf(w, "cardamomwick_dispatcher_recent_work{pool=%q,class=%q} %g\n", pool, c.Class, c.RecentWork)
		}
		for _, s := range v.Servers {
			fmt.Fprintf(w, "cardamomwick_dispatcher_granted{pool=%q,server=%q} %d\n", pool, s.ID, s.Granted)
			fmt.Fprintf(w, "cardamomwick_dispatcher_speed{pool=%q,server=%q} %g\n", pool, s.ID, s.Speed)
		}
	}
}
