package quarantine

import (
	"slices"
	"time"
)

// Limits of the quarantine.
const (
	// roundsToHold is how many times one after the other, without a success between,
	// servers must have ended under a request before it is held. While servers end all
	// the time, any request may run on one of them, and again on the next: of calls
	// that run for a second beside a server lost each second of twelve, one in 12
	// meets one end, one in 1,700 three.
	roundsToHold = 3
	// roundsToSuspect makes instances tell of the request's successes.
	roundsToSuspect = 2
	// roundsToHoldServed takes the place of roundsToHold for a request that servers have
	// answered within servedTime before its first end. Where all servers end one after the
	// other, none is left to answer calls that are alike, such as health checks, and each
	// end meets some of them; the request that ends the servers is held first, and explains
	// these ends. A request that servers could run before, and can't any more, is held
	// three ends later than others.
	roundsToHoldServed = 6
	servedTime         = time.Minute
	// FirstHold is how long a request is held at first; each further hold is holdGrowth
	// times as long, up to mostHold. After a hold, one more end is enough for the next
	// one: a request that goes on ending servers costs one of them a time, six in the
	// first hour, beside those that run at the same moment; and one that is held by
	// mistake is served again after a minute.
	FirstHold  = time.Minute
	holdGrowth = 4
	mostHold   = 16 * time.Minute
	// Deliberation passes at least between a suspicion and a hold: all instances that
	// have served the request meanwhile can say so in it. Servers can end so fast, one
	// after the other, that the next end comes before any word of a success.
	Deliberation = 150 * time.Millisecond
	// memoryTime is how long ends are remembered without a ruling, and a hold after
	// its end: longer than any usual pause between two repeats of a request.
	memoryTime = 10 * time.Minute
	// mostServers bounds the servers named in a ruling, the newest.
	mostServers = 8
	// blameTime is how long a held request explains the end of the servers named in
	// its ruling, for the other requests that were in flight there. Reports of one end
	// arrive within a second.
	blameTime = 30 * time.Second
)

// Standing is what is known of a request.
type Standing uint8

// The standings. At equal versions of a ruling the higher one counts.
const (
	// Cleared: it has succeeded since it was suspected.
	Cleared Standing = iota
	// Suspected: servers have ended under it, too few to be sure.
	Suspected
	// Held: it is kept from the servers.
	Held
)

// String returns the name used in logs.
func (s Standing) String() string { return [...]string{"cleared", "suspected", "held"}[s] }

// Ruling is a decision on a request. Instances tell each other; whatever the order in
// which they hear of the same rulings, they end up with the same.
type Ruling struct {
	Digest   Digest   `msgpack:"d"`
	Standing Standing `msgpack:"s"`
	// Version orders the decisions on one request.
	Version uint64 `msgpack:"v"`
	// Age is how long ago it was decided, at the moment of telling. Instances' clocks
	// are not compared.
	Age time.Duration `msgpack:"a"`
	// Holds counts the holds of the request without a success between.
	Holds int `msgpack:"n,omitempty"`
	// Servers are starts of servers that ended under the request, the newest last.
	Servers []string `msgpack:"e,omitempty"`
}

// decided is a ruling with the time of its decision by this instance's clock.
type decided struct {
	Ruling
	at time.Time
}

// holdTime is how long the request is held from the ruling on.
func (r *Ruling) holdTime() time.Duration {
	if r.Standing != Held {
		return 0
	}
	t := FirstHold
	for n := 1; n < r.Holds && t < mostHold; n++ {
		t *= holdGrowth
	}
	return min(t, mostHold)
}

// Left is how long the request is still held.
func (r *Ruling) Left() time.Duration { return max(0, r.holdTime()-r.Age) }

// aged is the ruling with its age at a time.
func (d *decided) aged(now time.Time) Ruling {
	out := d.Ruling
	out.Age = now.Sub(d.at)
	return out
}

// told is the ruling as it is passed on.
func (d *decided) told(now time.Time) Ruling {
	out := d.aged(now)
	if out.Age >= blameTime {
		out.Servers = nil
	}
	return out
}

// Over reports whether nothing follows from the ruling any more.
func (r *Ruling) Over() bool { return r.Age >= r.holdTime()+memoryTime }

func (d *decided) over(now time.Time) bool {
	x := d.aged(now)
	return x.Over()
}

// addServers adds servers that are not there yet and reports whether there were any.
func (d *decided) addServers(list []string) bool {
	added := false
	for _, s := range list {
		if !slices.Contains(d.Servers, s) {
			d.Servers = append(slices.Clone(d.Servers), s)
			added = true
		}
	}
	d.Servers = d.Servers[max(0, len(d.Servers)-mostServers):]
	return added
}
