// Package membership detects which instances are alive. It follows the SWIM protocol (Das,
// Gupta, Motivala): each period one member is probed, directly and then through others, and
// updates are piggybacked on the probes. The load per instance does not grow with the
// number of instances. The package does no I/O: the clock and the randomness are passed in,
// and messages are returned.
package membership

import (
	"maps"
	"math/bits"
	"slices"
	"sort"
	"strings"
	"time"
)

// Timing of failure detection.
const (
	ProbePeriod    = 300 * time.Millisecond
	directTimeout  = 150 * time.Millisecond
	probeTimeout   = 400 * time.Millisecond
	suspectTimeout = 1500 * time.Millisecond
	// deadRetention is how long a dead member is kept. Until then it may be alive beyond a
	// partition, and holds its share of bounds on all instances together.
	deadRetention = 10 * time.Minute
	// drainedRetention is how long a member that drained before it ended holds its share: what it
	// has used counts for the window of a retry budget, which is shorter.
	drainedRetention = 20 * time.Second
	// syncPeriod is the time between two exchanges of full tables for up to syncBaseMembers
	// members; it grows with their number, so that the bytes per second stay constant.
	syncPeriod      = 5 * time.Second
	syncBaseMembers = 16
	// seedPeriod is how often a seed that is not listed as alive is contacted.
	seedPeriod     = 5 * time.Second
	indirectProbes = 3
	maxUpdates     = 8
	// MaxMembers bounds the memory that a faulty peer can use up.
	MaxMembers = 4096
)

// State is the believed state of an instance.
type State uint8

// States of an instance. Among updates of equal incarnation the higher one wins.
const (
	Alive State = iota
	Suspect
	Dead
)

// Instance is one running daemon of the system.
type Instance struct {
	// Name is unique and set in the configuration.
	Name string `msgpack:"n" json:"name"`
	// Process changes with each start of the daemon.
	Process string `msgpack:"r" json:"process"`
	// Incarnation orders the updates about the instance. Only the instance itself increases
	// it.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	State       State  `msgpack:"s" json:"state"`
	// PeerAddress accepts frames, CallerAddress HTTP.
	PeerAddress   string `msgpack:"p" json:"peer_address"`
	CallerAddress string `msgpack:"c" json:"caller_address"`
	Zone          string `msgpack:"z" json:"availability_zone"`
	// Draining is set while the instance finishes its calls and accepts no new ones.
	Draining bool `msgpack:"d" json:"draining"`
	// Isolated is set while the instance has no fresh configuration lease.
	Isolated bool `msgpack:"o" json:"isolated"`
	// Partitioned is set while the instance can't reach backend servers that others reach.
	// Peers serve its calls.
	Partitioned bool `msgpack:"x,omitempty" json:"partitioned,omitempty"`
	// DeadMillis is, in messages, how long the instance has been dead.
	DeadMillis uint32 `msgpack:"y,omitempty" json:"-"`
}

// Owner identifies one process of an instance; a restarted instance is another owner.
func (i Instance) Owner() string { return i.Name + "/" + i.Process }

// MessageType is the type of a Message.
type MessageType uint8

// Types of messages.
const (
	Ping MessageType = iota + 1
	Ack
	// PingRequest asks the receiver to probe Target on behalf of the sender.
	PingRequest
	// Sync carries the full table and requests the receiver's.
	Sync
	SyncReply
	// DigestRequest carries a digest of the sender's table and requests the differences.
	DigestRequest
	// DigestReply carries the members that the receiver lacks, and requests those of a digest.
	DigestReply
	// Members carries the members that the receiver has requested.
	Members
)

// Message is a gossip message between two instances.
type Message struct {
	Type     MessageType `msgpack:"t"`
	From     string      `msgpack:"f"` // the sender's peer address
	Sequence uint64      `msgpack:"q"`
	Target   string      `msgpack:"g,omitempty"`
	Updates  []Instance  `msgpack:"u,omitempty"`
	// Digest holds the fingerprints of members, see exchange.go.
	Digest []byte `msgpack:"d,omitempty"`
}

// Outgoing is a message to be sent to a peer address.
type Outgoing struct {
	To      string
	Message Message
}

type memberEntry struct {
	Instance
	changedAt time.Time
	// shareEnded is set once the member is known to hold no share any more.
	shareEnded bool
}

type queuedUpdate struct {
	name string
	sent int
}

type probe struct {
	name     string
	started  time.Time
	indirect bool
	// requester is the peer address of the instance that asked for the probe, if any.
	requester         string
	requesterSequence uint64
}

// Table is one instance's view of the membership. Not safe for concurrent use.
type Table struct {
	self       Instance
	seeds      []string
	intn       func(int) int
	members    map[string]*memberEntry
	updates    []queuedUpdate
	probes     map[uint64]*probe
	sequence   uint64
	probeOrder []string
	lastPing   time.Time
	lastSync   time.Time
	lastSeed   time.Time
	// lastExchange is when the last exchange by digest was started; differedAt is when the tables
	// of an exchange last differed.
	lastExchange, differedAt time.Time
	outgoing                 []Outgoing
	// now is the time of the latest Tick or Handle.
	now time.Time
	// version increases whenever the result of Instances or ShareHolders changes.
	version uint64
}

// New returns a table that holds only the instance itself. The incarnation starts from the
// wall clock, so that a restart overrides earlier updates.
func New(self Instance, seeds []string, now time.Time, intn func(int) int) *Table {
	self.Incarnation = uint64(now.UnixMilli())
	t := &Table{self: self, seeds: seeds, intn: intn, members: map[string]*memberEntry{}, probes: map[uint64]*probe{}, differedAt: now}
	t.members[self.Name] = &memberEntry{Instance: self, changedAt: now}
	t.enqueueUpdate(self.Name)
	return t
}

// Flags are the parts of an Instance that it changes itself.
type Flags struct{ Draining, Isolated, Partitioned bool }

// SetFlags sets the instance's own flags and disseminates them.
func (t *Table) SetFlags(now time.Time, f Flags) {
	if f == (Flags{t.self.Draining, t.self.Isolated, t.self.Partitioned}) {
		return
	}
	t.self.Draining, t.self.Isolated, t.self.Partitioned = f.Draining, f.Isolated, f.Partitioned
	t.raiseIncarnation(now, t.self.Incarnation)
}

func (t *Table) raiseIncarnation(now time.Time, above uint64) {
	t.self.Incarnation = above + 1
	t.members[t.self.Name] = &memberEntry{Instance: t.self, changedAt: now}
	t.version++
	t.enqueueUpdate(t.self.Name)
}

// Version increases whenever the result of Instances or ShareHolders may have changed.
func (t *Table) Version() uint64 { return t.version }

// Instances returns the members that are not dead, sorted by name. Suspects are included:
// they may only be slow.
func (t *Table) Instances() []Instance {
	var out []Instance
	for _, m := range t.members {
		if m.State != Dead {
			out = append(out, m.Instance)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Tick runs the periodic work: probes, timeouts and syncs. Call it several times per
// ProbePeriod.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.now = now
	t.checkProbes(now)
	t.checkSuspects(now)
	if now.Sub(t.lastPing) >= ProbePeriod {
		t.lastPing = now
		t.probeNext(now)
	}
	if now.Sub(t.lastSync) >= t.syncInterval() {
		t.lastSync = now
		t.syncRandomPeer()
	}
	if now.Sub(t.lastExchange) >= t.exchangeInterval(now) {
		t.lastExchange = now
		t.startExchange()
	}
	if now.Sub(t.lastSeed) >= seedPeriod {
		t.lastSeed = now
		t.syncLostSeed()
	}
	return t.takeOutgoing()
}

func (t *Table) takeOutgoing() []Outgoing {
	out := t.outgoing
	t.outgoing = nil
	return out
}

func (t *Table) send(to string, m Message) {
	m.From = t.self.PeerAddress
	switch m.Type {
	case Ping, Ack, PingRequest:
		m.Updates = t.piggyback()
	}
	t.outgoing = append(t.outgoing, Outgoing{to, m})
}

// probeNext pings the next member of a shuffled round.
func (t *Table) probeNext(now time.Time) {
	for range len(t.members) + 1 {
		if len(t.probeOrder) == 0 {
			t.shuffleProbeOrder()
		}
		if len(t.probeOrder) == 0 {
			return
		}
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if m := t.members[name]; m != nil && m.State != Dead && name != t.self.Name {
			t.ping(now, m, probe{name: name})
			return
		}
	}
}

func (t *Table) shuffleProbeOrder() {
	for name := range t.members {
		if name != t.self.Name {
			t.probeOrder = append(t.probeOrder, name)
		}
	}
	sort.Strings(t.probeOrder)
	for i := len(t.probeOrder) - 1; i > 0; i-- {
		j := t.intn(i + 1)
		t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
	}
}

func (t *Table) ping(now time.Time, m *memberEntry, p probe) {
	t.sequence++
	p.started = now
	t.probes[t.sequence] = &p
	t.send(m.PeerAddress, Message{Type: Ping, Sequence: t.sequence})
}

func (t *Table) checkProbes(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[seq]
		age := now.Sub(p.started)
		switch {
		case age >= probeTimeout:
			delete(t.probes, seq)
			if m := t.members[p.name]; m != nil && m.State == Alive && p.requester == "" {
				t.setState(now, m, Suspect)
			}
		case age >= directTimeout && !p.indirect && p.requester == "":
			p.indirect = true
			t.probeIndirectly(seq, p.name)
		}
	}
}

func (t *Table) probeIndirectly(seq uint64, name string) {
	asked := 0
	for _, i := range t.Instances() {
		if i.Name == name || i.Name == t.self.Name || i.State != Alive {
			continue
		}
		if asked++; asked > indirectProbes {
			return
		}
		t.send(i.PeerAddress, Message{Type: PingRequest, Sequence: seq, Target: name})
	}
}

func (t *Table) checkSuspects(now time.Time) {
	var dead []*memberEntry
	for name, m := range t.members {
		switch {
		case m.State == Suspect && now.Sub(m.changedAt) >= suspectTimeout:
			dead = append(dead, m)
		case m.State == Dead && now.Sub(m.changedAt) >= deadRetention:
			delete(t.members, name)
			t.version++
		case !m.shareEnded && m.drainedFor(now) >= drainedRetention:
			m.shareEnded = true
			t.version++
		}
	}
	slices.SortFunc(dead, func(a, b *memberEntry) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range dead {
		t.setState(now, m, Dead)
	}
}

func (t *Table) setState(now time.Time, m *memberEntry, s State) {
	m.State = s
	m.changedAt = now
	t.version++
	t.enqueueUpdate(m.Name)
}

func (t *Table) syncInterval() time.Duration {
	if len(t.members) == 1 {
		return ProbePeriod
	}
	return syncPeriod * time.Duration(max(syncBaseMembers, len(t.members))) / syncBaseMembers
}

// syncLostSeed sends the table to a seed that is not listed as alive. After a partition in
// which both sides have removed each other this merges them again.
func (t *Table) syncLostSeed() {
	alive := map[string]bool{}
	for _, i := range t.Instances() {
		alive[i.PeerAddress] = true
	}
	var lost []string
	for _, s := range t.seeds {
		if !alive[s] {
			lost = append(lost, s)
		}
	}
	if len(lost) > 0 {
		t.send(lost[t.intn(len(lost))], Message{Type: Sync, Updates: t.allMembers()})
	}
}

// syncRandomPeer exchanges full tables with a random seed or member, which repairs the
// effects of lost messages.
func (t *Table) syncRandomPeer() {
	var targets []string
	for _, s := range t.seeds {
		if s != t.self.PeerAddress {
			targets = append(targets, s)
		}
	}
	for _, i := range t.Instances() {
		if i.Name != t.self.Name && !slices.Contains(targets, i.PeerAddress) {
			targets = append(targets, i.PeerAddress)
		}
	}
	if len(targets) > 0 {
		t.send(targets[t.intn(len(targets))], Message{Type: Sync, Updates: t.allMembers()})
	}
}

// Handle processes one message and returns the messages to send.
func (t *Table) Handle(now time.Time, m Message) []Outgoing {
	t.now = now
	t.mergeAll(now, m.Updates)
	switch m.Type {
	case Ping:
		t.send(m.From, Message{Type: Ack, Sequence: m.Sequence})
	case Ack:
		t.handleAck(m)
	case PingRequest:
		if target := t.members[m.Target]; target != nil {
			t.ping(now, target, probe{name: m.Target, requester: m.From, requesterSequence: m.Sequence})
		}
	case Sync:
		t.send(m.From, Message{Type: SyncReply, Updates: t.allMembers()})
	case DigestRequest:
		t.answerDigest(now, m)
	case DigestReply:
		t.answerDigestReply(now, m)
	}
	return t.takeOutgoing()
}

func (t *Table) handleAck(m Message) {
	p := t.probes[m.Sequence]
	if p == nil {
		return
	}
	delete(t.probes, m.Sequence)
	if p.requester != "" {
		t.send(p.requester, Message{Type: Ack, Sequence: p.requesterSequence})
	}
}

// mergeAll applies updates. More than fit on a message come from a whole table. They are not
// passed on with probes: exchanges spread them, and hundreds of queued updates would delay
// those that follow.
func (t *Table) mergeAll(now time.Time, updates []Instance) {
	for _, u := range updates {
		t.merge(now, u, len(updates) <= maxUpdates)
	}
}

// merge applies an update about one instance, and queues it for dissemination if asked to. A
// higher incarnation wins; within one, the worse state wins. An update that declares this instance
// itself suspect or dead is refuted with a higher incarnation.
func (t *Table) merge(now time.Time, u Instance, enqueue bool) {
	if u.Name == t.self.Name {
		if u.Incarnation > t.self.Incarnation || (u.Incarnation == t.self.Incarnation && u.State != Alive) {
			t.raiseIncarnation(now, u.Incarnation)
		}
		return
	}
	m := t.members[u.Name]
	if m == nil {
		if u.deadFor() >= deadRetention || len(t.members) >= MaxMembers {
			return
		}
		t.storeInstance(now, u, enqueue)
		return
	}
	if u.Incarnation < m.Incarnation || (u.Incarnation == m.Incarnation && u.State <= m.State) {
		return
	}
	t.storeInstance(now, u, enqueue)
}

func (t *Table) storeInstance(now time.Time, u Instance, enqueue bool) {
	changedAt := now.Add(-u.deadFor())
	u.DeadMillis = 0
	t.members[u.Name] = &memberEntry{Instance: u, changedAt: changedAt}
	t.version++
	if enqueue {
		t.enqueueUpdate(u.Name)
	}
}

// enqueueUpdate queues an instance's state for piggybacking.
func (t *Table) enqueueUpdate(name string) {
	t.updates = slices.DeleteFunc(t.updates, func(u queuedUpdate) bool { return u.name == name })
	t.updates = append([]queuedUpdate{{name: name}}, t.updates...)
}

// piggyback returns the updates sent least often; each is sent O(log n) times.
func (t *Table) piggyback() []Instance {
	limit := 3 * bits.Len(uint(len(t.members)+1))
	sort.SliceStable(t.updates, func(i, j int) bool { return t.updates[i].sent < t.updates[j].sent })
	var out []Instance
	for i := range t.updates {
		if len(out) == maxUpdates {
			break
		}
		if m := t.members[t.updates[i].name]; m != nil {
			out = append(out, m.forMessage(t.now))
		}
		t.updates[i].sent++
	}
	t.updates = slices.DeleteFunc(t.updates, func(u queuedUpdate) bool { return u.sent >= limit })
	return out
}
