package daemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomwick.example/core/collect"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/membudget"
	core "cardamomwick.example/core/relay"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/capacity"
	"cardamomwick.example/daemon/control"
	"cardamomwick.example/daemon/duties"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/gossip"
	"cardamomwick.example/daemon/inbound"
	"cardamomwick.example/daemon/provider"
	"cardamomwick.example/daemon/quarantine"
	"cardamomwick.example/daemon/relay"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/resumption"
	"cardamomwick.example/daemon/router"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/daemon/telemetry"
	"cardamomwick.example/daemon/upstream"
	"cardamomwick.example/daemon/usage"
)

// ControlAPI holds the operations for operators and backend servers.
type ControlAPI interface {
	Declare(ctx context.Context, d *routing.Declaration, source []byte) error
	Source(ctx context.Context) ([]byte, error)
	Announce(ctx context.Context, s fleet.Server) error
	Depart(ctx context.Context, start fleet.Start) error
	// AssignedReplica returns the peer address of the instance that should receive the further
	// announcements of a server, "" for this one.
	AssignedReplica(serverID string) string
	// RecordForeign records an announcement that can't be from a backend server.
	RecordForeign(source string, err error)
}

// Directory lists the addresses that callers may connect to.
type Directory interface {
	// Entries lists the caller addresses of the instances that accept calls.
	Entries() []string
	// TTL is how long callers may cache the list.
	TTL() time.Duration
}

// Adapter implements the HTTP protocol of a platform.
type Adapter interface {
	upstream.Protocol
	provider.Protocol
	Control(ControlAPI) http.Handler
	Directory(Directory) http.Handler
	// Readiness serves whether this instance accepts calls.
	Readiness(ready func() bool) http.Handler
}

// Routed is an instance that serves declared routes on a platform. Its settings decide
// whether it is an entry, a replica or both.
type Routed struct {
	settings   *settings.Settings
	guard      *inbound.Guard
	answers    *membudget.Pool
	transport  *frame.Transport
	gossip     *gossip.Service
	replica    *replica.Replica
	directory  *replica.Directory
	watch      *control.Watch
	control    *control.Service
	quarantine *quarantine.Manager
	records    *resumption.Service
	reporter   *usage.Reporter
	orderer    *capacity.Orderer
	runners    []*duties.Runner
	router     *router.Router
	relays     *relay.Server
	// peers, owners and plans cache relayPeers, slotOwners and collectPlan.
	peers    membership.Cache[[]core.Peer]
	owners   membership.Cache[[]string]
	plans    membership.Cache[collect.Plan]
	services []suture.Service
	metrics  *telemetry.Metrics
	draining atomic.Bool
	// lastListing is the latest list of servers that the watch delivered.
	lastListing []fleet.Server
}

// NewRouted builds an instance from validated settings.
func NewRouted(s *settings.Settings, a Adapter) (*Routed, error) {
	keys, err := frameKeys(s.Peers.Keys)
	if err != nil {
		return nil, err
	}
	guard := newGuard(s)
	d := &Routed{settings: s, guard: guard, answers: newAnswerMemory(s), transport: newTransport(s, keys, guard), metrics: telemetry.New()}
	self := membership.Instance{Name: s.Instance.Name, Process: uuid.NewString()[:8], PeerAddress: s.Peers.Address,
		CallerAddress: s.Callers.Address, Zone: s.Instance.AvailabilityZone}
	seeds := s.Peers.SeedAddresses()
	d.gossip = gossip.New(d.transport, self, seeds)
	d.directory = replica.NewSeedDirectory(seeds, s.Replicas.Bootstrap)
	client := replica.NewClient(d.transport, d.directory)
	d.quarantine = quarantine.New(quarantine.Options{Transport: d.transport, Instances: d.gossip.Instances, Evaluators: d.gossip.Entries, Log: client,
		Dial: newPartitionDialer(s.Faults.CutFile), Reaches: d.reaches})
	d.records = resumption.New(d.transport, d.gossip.Instances)
	d.services = append(d.services, d.quarantine, d.records)
	if settings.Enabled(s.Usage.Record) {
		d.addReporter(client)
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
		err = d.listen("metrics", s.Metrics.Address, d.metricsHandler(), shortIdleTimeout)
	}
	return d, err
}

func (d *Routed) listen(name, address string, h http.Handler, idle time.Duration) error {
	_, err := d.addListener(name, address, h, idle)
	return err
}

func (d *Routed) addListener(name, address string, h http.Handler, idle time.Duration) (*httpListener, error) {
	l, err := newHTTPListener(d.guard, name, address, h, idle)
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
	l.maxOpen = maxControlConnections
	return nil
}

func (d *Routed) addEntry(a Adapter, client *replica.Client) error {
	r := d.settings.Routing
	tuned := d.settings.Tuning()
	rejections := router.NewRejections(d.transport)
	slots := router.NewSlots(d.settings.Instance.Name, d.transport, d.peerAddresses)
	d.router = router.New(router.Options{Protocol: a, Name: d.settings.Instance.Name,
		Table:   func() *routing.Table { return d.watch.Table() },
		Entries: func() int { return len(d.gossip.Entries()) }, ShareHolders: func() int { return len(d.gossip.ShareHolders()) },
		Usage: d.usage(),
		Retry: router.RetryLimits{Span: tuned.RetryWindow, Ratio: tuned.RetryRatio, Slack: tuned.RetrySlack}, Metrics: d.metrics, Quarantine: d.quarantine,
		AnswerMemory: d.answers, Dial: newPartitionDialer(d.settings.Faults.CutFile),
		TellRejection: func(names []string, server string, room int) {
			rejections.Tell(d.peerAddresses(names), server, room)
		},
		Slots: slots,
		Zone:  d.settings.Instance.AvailabilityZone, SlotOwners: d.slotOwners, Relays: relay.NewClient(d.transport), Peers: d.relayPeers, Records: d.records, OnlySoftware: resumption.NewHistory(client.OnlySoftware).OnlySoftware, OnPartition: d.setPartitioned,
		ListIsCurrent: func() bool { return d.watch.ListIsCurrent() }})
	rejections.Receive(d.router)
	slots.Receive(d.router)
	d.relays = relay.NewServer(d.transport, d.router)
	d.relays.LimitBytes(d.settings.Tuning().MemoryBytes / relayedShare)
	// The watch has its own client: the shared one remembers the leader that other calls
	// found, and would always send the watch there.
	d.watch = control.NewWatch(d.transport, replica.NewClient(d.transport, d.directory), d.applyTable, d.applyFleet)
	d.watch.OnQuarantineDecisions(d.quarantine.MergeDecisions)
	exchange := router.NewExchange(d.router, d.transport, d.collectPlan)
	if d.reporter != nil {
		d.reporter.SetDemands(d.router.Demands)
	}
	d.services = append(d.services, d.watch, exchange)
	l, err := d.addListener("callers' listener", d.settings.Callers.Address, d.router, callerIdleTimeout)
	if err != nil {
		return err
	}
	l.limits = d.callerLimits
	if r.ReadinessAddress == "" {
		return nil
	}
	return d.listen("readiness", r.ReadinessAddress, a.Readiness(d.ready), shortIdleTimeout)
}

// callerLimits returns the limits on callers' heads and connections, the built-in ones where the
// declaration has none.
func (d *Routed) callerLimits() inbound.HeadLimits {
	var declared routing.Limits
	if t := d.watch.Table(); t != nil {
		declared = t.Limits()
	}
	return inbound.HeadLimits{MaxBytes: cmp.Or(declared.MaxHeaderBytes, maxHeaderBytes), Timeout: cmp.Or(declared.HeaderTimeout, headerTimeout), IdleTimeout: declared.IdleTimeout}
}

// relayedShare is the part of the machine's memory, as its inverse, that bodies of calls for peers take.
const relayedShare = 8

// applyTable puts a new declaration in force at this instance.
func (d *Routed) applyTable(t *routing.Table) {
	d.router.SetTable(t)
	d.gossip.SetIsolated(false)
}

// applyFleet updates the router if the list of servers has changed. Most rounds of the
// watch deliver the same slice, and processing a large list takes long.
func (d *Routed) applyFleet(list []fleet.Server) {
	if len(list) == len(d.lastListing) && (len(list) == 0 || &list[0] == &d.lastListing[0]) {
		d.router.Refresh()
		return
	}
	d.lastListing = list
	d.router.SetFleet(list)
}

// ready reports whether this instance accepts new calls.
func (d *Routed) ready() bool { return !d.draining.Load() && d.watch.Table() != nil }

// collectPlan returns this instance's part in the exchange of load counts.
func (d *Routed) collectPlan() collect.Plan {
	return d.plans.Get(d.gossip.Entries(), func(entries []membership.Instance) collect.Plan {
		members := make([]collect.Member, 0, len(entries))
		for _, i := range entries {
			members = append(members, collect.Member{Name: i.Name, Zone: i.Zone, Address: i.PeerAddress})
		}
		self := collect.Member{Name: d.settings.Instance.Name, Zone: d.settings.Instance.AvailabilityZone, Address: d.settings.Peers.Address}
		return collect.NewPlan(self, members)
	})
}

// reaches reports whether this instance reaches the other servers of a server's pool, or has
// done so since a time. An instance without callers sends servers nothing and knows of no
// failure; its probe counts by itself.
func (d *Routed) reaches(ctx context.Context, server string, since time.Time) bool {
	return d.router == nil || d.router.Reaches(ctx, server, since)
}

// slotOwners lists the names of the entries that may send calls to servers: all that hold a
// share, but for those that say that they don't reach the servers.
func (d *Routed) slotOwners() []string {
	return d.owners.Get(d.gossip.ShareHolders(), func(holders []membership.Instance) (names []string) {
		for _, i := range holders {
			if i.State == membership.Dead || !i.Partitioned {
				names = append(names, i.Name)
			}
		}
		return names
	})
}

// relayPeers lists the other entries.
func (d *Routed) relayPeers() []core.Peer {
	return d.peers.Get(d.gossip.Entries(), func(entries []membership.Instance) (peers []core.Peer) {
		for _, i := range entries {
			if i.PeerAddress != d.transport.Self() {
				peers = append(peers, core.Peer{Name: i.Name, Zone: i.Zone, Address: i.PeerAddress, Partitioned: i.Partitioned})
			}
		}
		return peers
	})
}

// peerAddresses returns the addresses of those of the named entries that are in sight.
func (d *Routed) peerAddresses(names []string) (addresses []string) {
	for _, p := range d.relayPeers() {
		if slices.Contains(names, p.Name) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// setPartitioned announces whether this instance can't reach servers that its peers reach.
func (d *Routed) setPartitioned(partitioned bool) {
	d.gossip.SetPartitioned(partitioned)
	log.WithFields(log.Fields{"step": "announce partition", "partitioned": partitioned}).Warn("this instance is partitioned from servers that its peers reach, or no longer is")
}

// Entries implements Directory.
func (d *Routed) Entries() []string {
	out := []string{}
	for _, i := range d.gossip.ReachingEntries() {
		out = append(out, i.CallerAddress)
	}
	return out
}

// TTL implements Directory.
func (d *Routed) TTL() time.Duration { return d.settings.Callers.AddressTTL.D() }

// Reload applies the settings that may change without a restart: seeds, frame keys and
// log level.
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

// Run serves until stop is done, then drains and shuts down.
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
	// addressGraceTTLs is how long callers may keep using an address that is no longer
	// listed, in times to live of the address list.
	addressGraceTTLs = 3
	// maxGraceFraction bounds that time by a part of the drain timeout: what is accepted in it
	// may be cut off.
	maxGraceFraction = 0.375
	// drainFraction is the part of the drain timeout after which calls in flight are cut
	// off.
	drainFraction = 0.92
)

// drainPlan are the times of a graceful shutdown.
type drainPlan struct {
	// Until graceEnd all calls are accepted, after it those that end before the deadline.
	graceEnd time.Time
	// earliestEnd and deadline are when the instance may and must stop.
	earliestEnd, deadline time.Time
}

func planDrain(began time.Time, ttl, timeout time.Duration) drainPlan {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(timeout)) }
	p := drainPlan{graceEnd: began.Add(min(addressGraceTTLs*ttl, part(maxGraceFraction))), deadline: began.Add(part(drainFraction))}
	p.earliestEnd = p.graceEnd.Add(ttl)
	return p
}

// drain removes the instance from the address list and keeps serving while callers may
// still use the address. Then it accepts only calls that end before the deadline, and
// waits until no call is in flight or the deadline has passed.
func (d *Routed) drain() error {
	d.draining.Store(true)
	d.gossip.SetDraining()
	if d.router == nil {
		return nil
	}
	log.WithField("in_flight", d.router.InFlight()).Info("draining")
	p := planDrain(time.Now(), d.TTL(), d.settings.Tuning().DrainTimeout)
	time.Sleep(time.Until(p.graceEnd))
	d.router.Drain(p.deadline)
	d.router.FinishCalls(p.earliestEnd, p.deadline)
	log.WithField("in_flight", d.router.InFlight()).Info("drained")
	return nil
}
