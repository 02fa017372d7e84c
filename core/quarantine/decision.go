package quarantine

import (
	"slices"
	"time"
)

// Limits of the quarantine.
const (
	// roundsToHold is the number of rounds, without a success in between, after which a
	// request is held. Rounds are consecutive crashes: the run of each round began after
	// the crash of the previous one, so that simultaneous crashes are one round. While
	// servers keep crashing, an unrelated request can be hit repeatedly: with 12 servers of
	// which one crashes each second, one in 12 calls of one second is hit once, one in
	// 1,700 three times.
	roundsToHold = 3
	// roundsToSuspect is the number of rounds after which instances report the request's
	// successes.
	roundsToSuspect = 2
	// roundsToHoldServed replaces roundsToHold for a request that was answered within
	// recentSuccess before its first crash. When all servers crash in turn, none is left to
	// answer identical calls such as health checks, and each crash hits some of them.
	// The crashing request is held first, and the crashes are then attributed to it. A
	// request that servers could process before but no longer can is held three crashes
	// later than others.
	roundsToHoldServed = 6
	recentSuccess      = time.Minute
	// InitialHold is the length of the first hold. Each further hold is holdFactor times
	// as long, up to maxHold. After a hold, one more crash starts the next one: a
	// request that keeps crashing servers stops one at a time, six in the first hour,
	// apart from those that run at the same moment. A request that is held by mistake is
	// served again after a minute.
	InitialHold = time.Minute
	holdFactor  = 4
	maxHold     = 16 * time.Minute
	// DecisionDelay is the minimum time between a suspicion and a hold, in which all
	// instances that have served the request can report so. Consecutive crashes can be
	// faster than any report of a success.
	DecisionDelay = 150 * time.Millisecond
	// retention is how long crashes are remembered without a decision, and a hold after
	// its end. It exceeds any usual pause between two calls with the same request.
	retention = 10 * time.Minute
	// maxServers bounds the servers listed in a decision; the latest are kept.
	maxServers = 8
	// attributionTime is how long the crashes of the servers listed in a hold are
	// attributed to the held request instead of to others that ran there. Reports of one
	// crash arrive within a second.
	attributionTime = 30 * time.Second
)

// Status is the classification of a request.
type Status uint8

// Statuses in ascending order of precedence: of two decisions with the same version, the
// higher one wins.
const (
	// Cleared: the request has succeeded since it was suspected.
	Cleared Status = iota
	// Suspected: servers have crashed while they ran the request, but too few for a hold.
	Suspected
	// Held: the request is not sent to servers.
	Held
)

// String returns the name used in logs.
func (s Status) String() string { return [...]string{"cleared", "suspected", "held"}[s] }

// Decision classifies a request or a part of prompts. Instances exchange decisions; merging is
// independent of the order in which they arrive.
type Decision struct {
	Digest Digest `msgpack:"d"`
	Status Status `msgpack:"s"`
	// Version orders the decisions on one request.
	Version uint64 `msgpack:"v"`
	// Age is the time since the decision when it is sent. The clocks of instances are
	// not compared.
	Age time.Duration `msgpack:"a"`
	// Holds counts the holds of the request since its last success.
	Holds int `msgpack:"n,omitempty"`
	// Servers lists the server starts that crashed while they ran the request, the latest
	// last.
	Servers []string `msgpack:"e,omitempty"`
	// Part is set if the decision is on a part of prompts instead of a request.
	Part *Part `msgpack:"p,omitempty"`
	// Served is set if an answer was begun on the part shortly before its first crash.
	Served bool `msgpack:"l,omitempty"`
	// Trial is set from the grant of a trial until its end is known: no other call proceeds.
	Trial bool `msgpack:"t,omitempty"`
	// LiftsHold is set at the evaluator if the decision ends a hold.
	LiftsHold bool `msgpack:"-"`
}

// datedDecision is a decision with its time by this instance's clock.
type datedDecision struct {
	Decision
	at time.Time
}

// holdTime returns how long the request is held after the decision.
func (r *Decision) holdTime() time.Duration {
	if r.Status != Held {
		return 0
	}
	if r.Trial {
		return trialTime
	}
	t := InitialHold
	if r.Served {
		t = initialServedPartHold
	}
	for n := 1; n < r.Holds && t < maxHold; n++ {
		t *= holdFactor
	}
	return min(t, maxHold)
}

// Remaining returns how much longer the request is held.
func (r *Decision) Remaining() time.Duration { return max(0, r.holdTime()-r.Age) }

// atTime returns the decision with its age at the given time.
func (d *datedDecision) atTime(now time.Time) Decision {
	out := d.Decision
	out.Age = now.Sub(d.at)
	return out
}

// forSending returns the decision as it is sent to other instances. The server list is
// omitted once it has no effect.
func (d *datedDecision) forSending(now time.Time) Decision {
	out := d.atTime(now)
	if out.Age >= attributionTime {
		out.Servers = nil
	}
	return out
}

// Expired reports whether the decision has no effect any more.
func (r *Decision) Expired() bool { return r.Age >= r.holdTime()+retention }

func (d *datedDecision) expired(now time.Time) bool {
	x := d.atTime(now)
	return x.Expired()
}

// addServers adds the servers that are not listed yet and reports whether there were
// any.
func (d *datedDecision) addServers(list []string) bool {
	added := false
	for _, s := range list {
		if !slices.Contains(d.Servers, s) {
			d.Servers = append(slices.Clone(d.Servers), s)
			added = true
		}
	}
	d.Servers = d.Servers[max(0, len(d.Servers)-maxServers):]
	return added
}
