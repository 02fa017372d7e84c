// Package membership decides which instances are alive. It follows the SWIM
// protocol (Das, Gupta, Motivala): each period one member is probed, directly
// and then through others; news travels on the probes. The load per instance
// does not grow with the number of instances. It is pure: the clock and the
// randomness are passed in, and messages are returned.
package membership

import (
	"math/bits"
	"slices"
	"sort"
	"time"
)

// Timing of failure detection.
const (
	ProbePeriod    = 300 * time.Millisecond
	directTimeout  = 150 * time.Millisecond
	probeTimeout   = 400 * time.Millisecond
	suspectTimeout = 1500 * time.Millisecond
	forgetAfter    = 60 * time.Second
	// syncPeriod is the time between two exchanges of whole tables while there
	// are at most syncMembers members; it grows with them, so that the bytes per
	// second stay level.
	syncPeriod  = 5 * time.Second
	syncMembers = 16
	// seedPeriod is how often a seed that is believed lost is asked again.
	seedPeriod      = 5 * time.Second
	indirectProbes  = 3
	updatesPerFrame = 8
	// MaxMembers bounds what a peer may make us remember.
	MaxMembers = 4096
)

// State is what is believed of an instance.
type State uint8

// States of an instance, in the order in which equal incarnations override.
const (
	Alive State = iota
	Suspect
	Dead
)

// Instance is one daemon of the system.
type Instance struct {
	// Name is unique and comes from the settings.
	Name string `msgpack:"n" json:"name"`
	// Process changes with each start of the daemon.
	Process string `msgpack:"r" json:"process"`
	// Incarnation orders what is said about the instance. Only the instance
	// itself raises it.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	State       State  `msgpack:"s" json:"state"`
	// PeerAddress takes frames, CallerAddress takes HTTP.
	PeerAddress   string `msgpack:"p" json:"peer_address"`
	CallerAddress string `msgpack:"c" json:"caller_address"`
	Zone          string `msgpack:"z" json:"availability_zone"`
	// Draining: it finishes what runs and takes nothing new.
	Draining bool `msgpack:"d" json:"draining"`
	// Isolated: it has no fresh configuration lease.
	Isolated bool `msgpack:"o" json:"isolated"`
}

// Owner names one process of an instance; a restarted instance is another
// owner.
func (i Instance) Owner() string { return i.Name + "/" + i.Process }

// MessageType tells what a Message asks or answers.
type MessageType uint8

// Kinds of messages.
const (
	Ping MessageType = iota + 1
	Ack
	// PingRequest asks the receiver to probe Target for the sender.
	PingRequest
	// Sync carries the whole table and asks for the receiver's.
	Sync
	SyncReply
)

// Message is what instances exchange.
type Message struct {
	Type     MessageType `msgpack:"t"`
	From     string      `msgpack:"f"` // the sender's peer address
	Sequence uint64      `msgpack:"q"`
	Target   string      `msgpack:"g,omitempty"`
	Updates  []Instance  `msgpack:"u,omitempty"`
}

// Outgoing is a message to send to a peer address.
type Outgoing struct {
	To      string
	Message Message
}

type member struct {
	Instance
	changed time.Time
}

type update struct {
	name string
	sent int
}

type probe struct {
	name     string
	started  time.Time
	indirect bool
	// relayFor is set when the probe was asked for by another instance.
	relayFor string
	relaySeq uint64
}

// Table is one instance's view. Not safe for concurrent use.
type Table struct {
	self     Instance
	seeds    []string
	intn     func(int) int
	members  map[string]*member
	queue    []update
	probes   map[uint64]*probe
	sequence uint64
	order    []string
	lastPing time.Time
	lastSync time.Time
	lastSeed time.Time
	out      []Outgoing
	// Version rises with every change of what Instances returns.
	version uint64
}

// New returns a table that knows only its own instance. The incarnation starts
// from the wall clock, so that a restart overrides what was said before.
func New(self Instance, seeds []string, now time.Time, intn func(int) int) *Table {
	self.Incarnation = uint64(now.UnixMilli())
	t := &Table{self: self, seeds: seeds, intn: intn, members: map[string]*member{}, probes: map[uint64]*probe{}}
	t.members[self.Name] = &member{Instance: self, changed: now}
	t.announce(self.Name)
	return t
}

// SetSelf changes the instance's own flags and spreads them.
func (t *Table) SetSelf(now time.Time, draining, isolated bool) {
	if t.self.Draining == draining && t.self.Isolated == isolated {
		return
	}
	t.self.Draining = draining
	t.self.Isolated = isolated
	t.raiseSelf(now, t.self.Incarnation)
}

func (t *Table) raiseSelf(now time.Time, above uint64) {
	t.self.Incarnation = above + 1
	t.members[t.self.Name] = &member{Instance: t.self, changed: now}
	t.version++
	t.announce(t.self.Name)
}

// Version rises whenever Instances may return something new.
func (t *Table) Version() uint64 { return t.version }

// Instances lists the members that are not dead, sorted by name. Suspects are
// included: they may only be slow.
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

// Tick probes, times out and syncs. Call it several times per ProbePeriod.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.checkProbes(now)
	t.checkSuspects(now)
	if now.Sub(t.lastPing) >= ProbePeriod {
		t.lastPing = now
		t.probeNext(now)
	}
	if now.Sub(t.lastSync) >= t.syncEvery() {
		t.lastSync = now
		t.syncSomeone()
	}
	if now.Sub(t.lastSeed) >= seedPeriod {
		t.lastSeed = now
		t.syncLostSeed()
	}
	return t.take()
}

func (t *Table) take() []Outgoing {
	out := t.out
	t.out = nil
	return out
}

func (t *Table) send(to string, m Message) {
	m.From = t.self.PeerAddress
	if m.Type != Sync && m.Type != SyncReply {
		m.Updates = t.piggyback()
	}
	t.out = append(t.out, Outgoing{to, m})
}

// probeNext pings the next member of a shuffled round.
func (t *Table) probeNext(now time.Time) {
	for range len(t.members) + 1 {
		if len(t.order) == 0 {
			t.shuffle()
		}
		if len(t.order) == 0 {
			return
		}
		name := t.order[0]
		t.order = t.order[1:]
		if m := t.members[name]; m != nil && m.State != Dead && name != t.self.Name {
			t.ping(now, m, probe{name: name})
			return
		}
	}
}

func (t *Table) shuffle() {
	for name := range t.members {
		if name != t.self.Name {
			t.order = append(t.order, name)
		}
	}
	sort.Strings(t.order)
	for i := len(t.order) - 1; i > 0; i-- {
		j := t.intn(i + 1)
		t.order[i], t.order[j] = t.order[j], t.order[i]
	}
}

func (t *Table) ping(now time.Time, m *member, p probe) {
	t.sequence++
	p.started = now
	t.probes[t.sequence] = &p
	t.send(m.PeerAddress, Message{Type: Ping, Sequence: t.sequence})
}

func (t *Table) checkProbes(now time.Time) {
	for seq, p := range t.probes {
		age := now.Sub(p.started)
		switch {
		case age >= probeTimeout:
			delete(t.probes, seq)
			if m := t.members[p.name]; m != nil && m.State == Alive && p.relayFor == "" {
				t.believe(now, m, Suspect)
			}
		case age >= directTimeout && !p.indirect && p.relayFor == "":
			p.indirect = true
			t.askOthers(seq, p.name)
		}
	}
}

func (t *Table) askOthers(seq uint64, name string) {
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
	for name, m := range t.members {
		switch {
		case m.State == Suspect && now.Sub(m.changed) >= suspectTimeout:
			t.believe(now, m, Dead)
		case m.State == Dead && now.Sub(m.changed) >= forgetAfter:
			delete(t.members, name)
		}
	}
}

func (t *Table) believe(now time.Time, m *member, s State) {
	m.State = s
	m.changed = now
	t.version++
	t.announce(m.Name)
}

func (t *Table) syncEvery() time.Duration {
	if len(t.members) == 1 {
		return ProbePeriod
	}
	return syncPeriod * time.Duration(max(syncMembers, len(t.members))) / syncMembers
}

// syncLostSeed asks a seed that is believed lost. After a partition in which
// both sides have forgotten each other this brings them together.
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
		t.send(lost[t.intn(len(lost))], Message{Type: Sync, Updates: t.all()})
	}
}

// syncSomeone exchanges whole tables with a seed or a member, which mends what
// lost messages left out.
func (t *Table) syncSomeone() {
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
		t.send(targets[t.intn(len(targets))], Message{Type: Sync, Updates: t.all()})
	}
}

func (t *Table) all() []Instance {
	out := make([]Instance, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.Instance)
	}
	return out
}

// Handle takes one message.
func (t *Table) Handle(now time.Time, m Message) []Outgoing {
	for _, u := range m.Updates {
		t.merge(now, u)
	}
	switch m.Type {
	case Ping:
		t.send(m.From, Message{Type: Ack, Sequence: m.Sequence})
	case Ack:
		t.handleAck(m)
	case PingRequest:
		if target := t.members[m.Target]; target != nil {
			t.ping(now, target, probe{name: m.Target, relayFor: m.From, relaySeq: m.Sequence})
		}
	case Sync:
		t.send(m.From, Message{Type: SyncReply, Updates: t.all()})
	}
	return t.take()
}

func (t *Table) handleAck(m Message) {
	p := t.probes[m.Sequence]
	if p == nil {
		return
	}
	delete(t.probes, m.Sequence)
	if p.relayFor != "" {
		t.send(p.relayFor, Message{Type: Ack, Sequence: p.relaySeq})
	}
}

// merge takes news about one instance. Higher incarnations win; within one,
// the worse state wins. News against this instance itself is refuted.
func (t *Table) merge(now time.Time, u Instance) {
	if u.Name == t.self.Name {
		if u.Incarnation > t.self.Incarnation || (u.Incarnation == t.self.Incarnation && u.State != Alive) {
			t.raiseSelf(now, u.Incarnation)
		}
		return
	}
	m := t.members[u.Name]
	if m == nil {
		if u.State == Dead || len(t.members) >= MaxMembers {
			return
		}
		t.adopt(now, u)
		return
	}
	if u.Incarnation < m.Incarnation || (u.Incarnation == m.Incarnation && u.State <= m.State) {
		return
	}
	t.adopt(now, u)
}

func (t *Table) adopt(now time.Time, u Instance) {
	t.members[u.Name] = &member{Instance: u, changed: now}
	t.version++
	t.announce(u.Name)
}

// announce queues an instance's state for piggybacking.
func (t *Table) announce(name string) {
	t.queue = slices.DeleteFunc(t.queue, func(u update) bool { return u.name == name })
	t.queue = append([]update{{name: name}}, t.queue...)
}

// piggyback takes the least-sent updates; each goes out O(log n) times.
func (t *Table) piggyback() []Instance {
	limit := 3 * bits.Len(uint(len(t.members)+1))
	sort.SliceStable(t.queue, func(i, j int) bool { return t.queue[i].sent < t.queue[j].sent })
	var out []Instance
	for i := range t.queue {
		if len(out) == updatesPerFrame {
			break
		}
		if m := t.members[t.queue[i].name]; m != nil {
			out = append(out, m.Instance)
		}
		t.queue[i].sent++
	}
	t.queue = slices.DeleteFunc(t.queue, func(u update) bool { return u.sent >= limit })
	return out
}
