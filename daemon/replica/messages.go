package replica

import (
	"github.com/apex/log"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/wire"
)

// splitMessages separates messages that may be sent before the local disk is synced, such
// as a leader's appends and heartbeats, from votes and acknowledgements, which may not.
func splitMessages(list []raft.Message) (early, afterSync []raft.Message) {
	for _, m := range list {
		switch m.Type {
		case raft.MsgAppend, raft.MsgHeartbeat, raft.MsgPreVote, raft.MsgPreVoteReply:
			early = append(early, m)
		default:
			afterSync = append(afterSync, m)
		}
	}
	return early, afterSync
}

// sendMessages sends messages to the members' addresses.
func (r *Replica) sendMessages(list []raft.Message) {
	members := r.node.Status().Membership
	byMember := map[uint64][]raft.Message{}
	for _, m := range list {
		if m.Type == raft.MsgSnapshot {
			r.sendSnapshot(m, members)
			continue
		}
		byMember[m.To] = append(byMember[m.To], m)
	}
	for id, msgs := range byMember {
		address := r.senderAddress[id]
		if member, ok := members.Find(id); ok {
			address = member.Address
		}
		if address == "" {
			continue
		}
		env := raftEnvelope{Group: r.store.Identity().Group, Messages: msgs}
		if err := r.opt.Transport.Send(address, methodRaft, &env); err != nil {
			r.node.ReportUnreachable(id)
		}
	}
}

func (r *Replica) handleRaft(from string, body []byte) {
	var env raftEnvelope
	if err := wire.Decode(body, &env); err != nil {
		log.WithError(err).WithField("step", "decode raft message").Warn("message dropped")
		return
	}
	if !r.Available() {
		return // the members send it again
	}
	r.enqueue(func() {
		if env.Group != r.store.Identity().Group || env.Group == 0 {
			return
		}
		for _, m := range env.Messages {
			r.senderAddress[m.From] = from
			r.lastMessage[m.From] = r.now()
			r.node.Step(m)
		}
	})
}
