package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomwick.example/core/collect"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/capacity"
	"cardamomwick.example/daemon/control"
	"cardamomwick.example/daemon/duties"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/gossip"
	"cardamomwick.example/daemon/provider"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/router"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/daemon/telemetry"
	"cardamomwick.example/daemon/upstream"
	"cardamomwick.example/daemon/usage"
)

// ControlAPI is what operators and backend servers may ask for.
type ControlAPI interface {
	Declare(ctx context.Context, d *routing.Declaration, source []byte) error
	Source(ctx context.Context) ([]byte, error)
	Announce(ctx context.Context, s fleet.Server) error
	Depart(ctx context.Context, start fleet.Start) error
	// Home is the peer address of the instance that a server's later announcements are to
	// come to, "" for this one.
	Home(serverID string) string
	// Foreign notes an announcement that can't be from a backend server.
	Foreign(source string, err error)
}

// Directory tells callers where to connect.
type Directory interface {
	// Entries lists the callers' addresses of the instances that take calls.
	Entries() []string
	// TTL is how long callers may keep the list.
	TTL() time.Duration
}

// Adapter is a platform's way of speaking HTTP.
type Adapter interface {
	upstream.Protocol
	provider.Protocol
	Control(ControlAPI) http.Handler
	Directory(Directory) http.Handler
	// Readiness answers whether this instance takes calls.
	Readiness(ready func() bool) http.Handler
}

// Routed is an instance that serves declared routes on a platform. Which parts
// it has follows from its settings.
type Routed struct {
	settings  *settings.Settings
	transport *frame.Transport
	gossip    *gossip.Service
	replica   *replica.Replica
	directory *replica.Directory
	watch     *control.Watch
	control   *control.Service
	keeper    *quarantine.Manager
	teller    *usage.Reporter
	orderer   *capacity.Orderer
	runners   []*duties.Runner
	router    *router.Router
	services  []suture.Service
	metrics   *telemetry.Metrics
	leaving   atomic.Bool
	// fleet is the listing that the watch has brought last.
	fleet []fleet.Server
}

// NewRouted builds an instance from checked settings.
func NewRouted(s *settings.Settings, a Adapter) (*Routed, error) {
	keys, err := frameKeys(s.Peers.Keys)
	if err != nil {
		return nil, err
	}
	d := &Routed{settings: s, transport: newTransport(s, keys), metrics: telemetry.New()}
	self := membership.Instance{Name: s.Instance.Name, Process: uuid.NewString()[:8], PeerAddress: s.Peers.Address,
		CallerAddress: s.Callers.Address, Zone: s.Instance.AvailabilityZone}
	seeds := s.Peers.SeedAddresses()
	d.gossip = gossip.New(d.transport, self, seeds)
	d.directory = replica.NewSeedDirectory(seeds, s.Replicas.Bootstrap)
	client := replica.NewClient(d.transport, d.directory)
	d.keeper = quarantine.New(quarantine.Options{Transport: d.transport, Instances: d.gossip.Instances, Evaluators: d.gossip.Entries, Log: client})
	d.services = append(d.services, d.keeper)
	if settings.Enabled(s.Usage.Record) {
		d.addTeller(client)
	}
	if s.Instance.DataFolder != "" {
		if err := d.addReplica(a, client); err != nil {
			return nil, err
		}
	}
	if s.Callers.Address != "" {
		if err := d.addEntry(a, client); err != nil {
			return nil, err
		}
	}
	if s.Routing.DirectoryAddress != "" {
		if err := d.listen("directory", s.Routing.DirectoryAddress, a.Directory(d), shortIdleTimeout); err != nil {
			return nil, err
		}
	}
	d.registerGauges()
	if s.Metrics.Address != "" {
		err = d.listen("metrics", s.Metrics.Address, d.pages(), shortIdleTimeout)
	}
	return d, err
}

func (d *Routed) listen(name, address string, h http.Handler, idle time.Duration) error {
	_, err := d.addListener(name, address, h, idle)
	return err
}

func (d *Routed) addListener(name, address string, h http.Handler, idle time.Duration) (*httpListener, error) {
	l, err := newHTTPListener(name, address, h, idle)
	if err != nil {
		return nil, err
	}
	d.services = append(d.services, l)
	return l, nil
}

func (d *Routed) addReplica(a Adapter, client *replica.Client) error {
	var err error
	d.replica, err = replica.New(replica.Options{Transport: d.transport, Folder: d.settings.Instance.DataFolder, Directory: d.directory})
	if err != nil {
		return eris.Wrap(err, "start replica")
	}
	d.control = control.New(d.transport, d.replica, client)
	d.control.SetInstances(d.gossip.Instances)
	d.services = append(d.services, d.replica, d.control)
	d.addDuties(a, client)
	if d.settings.Routing.ControlAddress == "" {
		return nil
	}
	l, err := d.addListener("control", d.settings.Routing.ControlAddress, a.Control(d.control), shortIdleTimeout)
	if err != nil {
		return err
	}
	l.most = mostControl
	return nil
}

func (d *Routed) addEntry(a Adapter, client *replica.Client) error {
	r := d.settings.Routing
	tuned := d.settings.Tuning()
	d.router = router.New(router.Options{Protocol: a, Name: d.settings.Instance.Name,
		Table:   func() *routing.Table { return d.watch.Table() },
		Entries: func() int { return len(d.gossip.Entries()) },
		Usage:   d.usage(),
		Retry:   router.RetryLimits{Span: tuned.RetryWindow, Ratio: tuned.RetryRatio, Slack: tuned.RetrySlack}, Metrics: d.metrics, Quarantine: d.keeper})
	// A client of its own: the one that finds the leader for other calls would lead the
	// watch back to it.
	d.watch = control.NewWatch(d.transport, replica.NewClient(d.transport, d.directory), d.takeTable, d.takeFleet)
	d.watch.OnQuarantineDecisions(d.keeper.MergeDecisions)
	self := collect.Member{Name: d.settings.Instance.Name, Zone: d.settings.Instance.AvailabilityZone, Address: d.settings.Peers.Address}
	exchange := router.NewExchange(d.router, d.transport, self, d.collectMembers)
	if d.teller != nil {
		d.teller.SetDemands(d.router.Demands)
	}
	d.services = append(d.services, d.watch, exchange)
	if err := d.listen("callers' listener", d.settings.Callers.Address, d.router, idleTimeout); err != nil {
		return err
	}
	if r.ReadinessAddress == "" {
		return nil
	}
	return d.listen("readiness", r.ReadinessAddress, a.Readiness(d.ready), shortIdleTimeout)
}

// takeTable makes this instance take calls by a new declaration.
func (d *Routed) takeTable(t *routing.Table) {
	d.router.SetTable(t)
	d.gossip.SetIsolated(false)
}

// takeFleet passes a listing on that differs from the one before. Nearly all rounds of a
// watch bring the same list, and a large one takes long to look through.
func (d *Routed) takeFleet(list []fleet.Server) {
	if len(list) == len(d.fleet) && (len(list) == 0 || &list[0] == &d.fleet[0]) {
		d.router.Refresh()
		return
	}
	d.fleet = list
	d.router.SetFleet(list)
}

// ready reports whether new calls are welcome here.
func (d *Routed) ready() bool { return !d.leaving.Load() && d.watch.Table() != nil }

func (d *Routed) collectMembers() []collect.Member {
	var out []collect.Member
	for _, i := range d.gossip.Entries() {
		out = append(out, collect.Member{Name: i.Name, Zone: i.Zone, Address: i.PeerAddress})
	}
	return out
}

// Entries implements Directory.
func (d *Routed) Entries() []string {
	out := []string{}
	for _, i := range d.gossip.Entries() {
		out = append(out, i.CallerAddress)
	}
	return out
}

// TTL implements Directory.
func (d *Routed) TTL() time.Duration { return d.settings.Callers.AddressTTL.D() }

// Reload takes over what may change without a stop: seeds, frame keys, log
// level.
func (d *Routed) Reload(s *settings.Settings) error {
	keys, err := frameKeys(s.Peers.Keys)
	if err != nil {
		return err
	}
	d.transport.SetKeys(keys)
	d.directory.SetSeeds(s.Peers.SeedAddresses())
	log.SetLevelFromString(s.Log.Level)
	log.WithField("seeds", s.Peers.SeedAddresses()).Info("settings reloaded")
	return nil
}

// Run serves until stop ends, then drains and shuts down.
func (d *Routed) Run(stop context.Context) error {
	root := supervisor("instance")
	root.Add(d.gossip)
	for _, s := range d.services {
		root.Add(s)
	}
	return runTree(stop, d.transport, root, log.Fields{"peers": d.settings.Peers.Address, "callers": d.settings.Callers.Address,
		"replica": d.replica != nil, "zone": d.settings.Instance.AvailabilityZone}, d.drain)
}

const (
	// staleTTLs is how many times the address list's time to live a caller may
	// go on using an address.
	staleTTLs = 3
	// drainShare of the time that a shutdown may take is used; then what is in
	// flight is cut off.
	drainShare = 0.92
	drainPoll  = 20 * time.Millisecond
)

// drain leaves the address list and serves on while callers may still hold the
// address. After that it takes only calls that are certainly done in time, and
// waits until no call is in flight or the time is over.
func (d *Routed) drain() error {
	d.leaving.Store(true)
	d.gossip.SetDraining()
	if d.router == nil {
		return nil
	}
	began := time.Now()
	cutOff := began.Add(time.Duration(drainShare * float64(d.settings.Tuning().DrainTimeout)))
	log.WithField("in_flight", d.router.InFlight()).Info("draining")
	time.Sleep(staleTTLs * d.TTL())
	d.router.Drain(cutOff)
	quiet := time.Now().Add(d.TTL())
	for time.Now().Before(cutOff) && (time.Now().Before(quiet) || d.router.InFlight() > 0) {
		time.Sleep(drainPoll)
	}
	log.WithField("in_flight", d.router.InFlight()).Info("drained")
	return nil
}
