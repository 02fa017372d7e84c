// Package replica runs a member of the replica group on an instance with a data
// folder: it drives the raft node, persists its log, applies committed entries to
// the state machine, and serves proposals and linearizable reads to all instances.
// Client, used by every instance, sends these requests to the leader.
package replica

import (
	"context"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/state"
)

// Frame methods of the replica group.
const (
	methodRaft     = "raft"
	methodSnapshot = "replica.snapshot"
	methodHello    = "replica.hello"
	methodJoin     = "replica.join"
	methodPropose  = "replica.propose"
	methodLease    = "replica.lease"
	methodStatus   = "replica.status"
	methodAudit    = "replica.audit"
	methodOrphans  = "replica.orphans"
	methodCall     = "replica.call"
	methodSource   = "replica.source"
	methodSoftware = "replica.software"
)

// raftEnvelope carries raft messages of one group.
type raftEnvelope struct {
	Group    uint64         `msgpack:"g"`
	Messages []raft.Message `msgpack:"m"`
}

// snapshotChunk is a part of a snapshot; Last marks the final one.
type snapshotChunk struct {
	Group   uint64       `msgpack:"g"`
	Message raft.Message `msgpack:"m"`
	Offset  int          `msgpack:"o"`
	Data    []byte       `msgpack:"d"`
	Last    bool         `msgpack:"l"`
}

type helloReply struct {
	ID    uint64 `msgpack:"i"`
	Group uint64 `msgpack:"g"`
}

type joinRequest struct {
	ID      uint64 `msgpack:"i"`
	Address string `msgpack:"a"`
}

// redirect is embedded in the replies to requests that only the leader can serve.
type redirect struct {
	NotLeader bool   `msgpack:"n,omitempty"`
	Leader    string `msgpack:"l,omitempty"`
	// Retry: the leadership changed while the request was open, or another membership
	// change is in progress; the request must be sent again.
	Retry bool `msgpack:"r,omitempty"`
}

func (r redirect) redirection() redirect { return r }

type redirectable interface{ redirection() redirect }

// Redirect is embedded in the replies of other packages' leader-only methods.
type Redirect = redirect

// NotLeaderReply returns a redirect to the leader in a replica's view.
func NotLeaderReply(v View) Redirect {
	return Redirect{NotLeader: true, Leader: v.Leader}
}

// CallLeader sends a request to replicas until the leader has answered or the context
// ends. The request must be idempotent.
func CallLeader[T redirectable](ctx context.Context, c *Client, method string, in any) (T, error) {
	return call[T](ctx, c, method, in)
}

// CallLeaderWithin is CallLeader with a time limit, after which it waits only for a response that
// is arriving then, until the context ends.
func CallLeaderWithin[T redirectable](ctx context.Context, c *Client, method string, in any, limit time.Duration) (T, error) {
	return callWithin[T](ctx, c, method, in, limit)
}

type joinReply struct {
	redirect `msgpack:",inline"`
}

type proposeReply struct {
	redirect `msgpack:",inline"`
	Result   state.Result `msgpack:"v"`
}

type leaseRequest struct {
	Generation uint64 `msgpack:"g"`
}

// LeaseLength is the validity of a lease from the leader, counted from the time at which
// the request was sent.
const LeaseLength = 2 * time.Second

// Lease is a configuration update that was read with the confirmation of a quorum.
type Lease struct {
	Group  uint64       `msgpack:"g"`
	Update state.Update `msgpack:"u"`
	// Valid is the lease's validity from the time at which the request was sent.
	Valid time.Duration `msgpack:"v"`
}

type leaseReply struct {
	redirect `msgpack:",inline"`
	Lease    Lease `msgpack:"v"`
}

type statusReply struct {
	redirect `msgpack:",inline"`
	Status   api.GroupStatus `msgpack:"v"`
}

type auditRequest struct {
	After uint64 `msgpack:"a"`
}

type auditReply struct {
	redirect `msgpack:",inline"`
	Entries  []state.AuditEntry `msgpack:"v"`
}

type orphansRequest struct {
	Alive []string `msgpack:"a"`
	Limit int      `msgpack:"l"`
}

type orphansReply struct {
	redirect `msgpack:",inline"`
	Orphans  []state.Orphan `msgpack:"v"`
}

// sourceReply carries the declaration in force as the operator sent it, compressed.
type sourceReply struct {
	redirect `msgpack:",inline"`
	Source   []byte `msgpack:"s"`
}

// softwareReply says what software the servers of a pool have run.
type softwareReply struct {
	redirect `msgpack:",inline"`
	Known    bool               `msgpack:"k"`
	Software state.PoolSoftware `msgpack:"v"`
}

type callReply struct {
	redirect `msgpack:",inline"`
	Found    bool             `msgpack:"f"`
	Record   state.CallRecord `msgpack:"v"`
}
