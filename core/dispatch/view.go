package dispatch

import "time"

// ServerView is the dispatcher's state of a backend server.
type ServerView struct {
	ServerInfo
	// Granted is how many of this dispatcher's calls run on the server, OtherLoad the
	// reported load in addition to them.
	Granted   int     `msgpack:"g" json:"granted"`
	OtherLoad int     `msgpack:"f" json:"foreign"`
	Speed     float64 `msgpack:"p" json:"speed"`
	Usable    bool    `msgpack:"u" json:"usable"`
	Retired   bool    `msgpack:"t" json:"retired"`
}

// ClassView is the state of one class's queue.
type ClassView struct {
	Class      string  `msgpack:"c" json:"class"`
	Waiting    int     `msgpack:"w" json:"waiting"`
	RecentWork float64 `msgpack:"g" json:"recent_work"`
}

// View is a copy of a pool's state for operators and metrics.
type View struct {
	Waiting int          `msgpack:"w" json:"waiting"`
	Running int          `msgpack:"r" json:"running"`
	Servers []ServerView `msgpack:"s" json:"servers"`
	Classes []ClassView  `msgpack:"c" json:"classes"`
}

// View returns the pool's state.
func (p *Pool) View(now time.Time) View {
	v := View{Waiting: len(p.waiting), Running: len(p.running)}
	for _, s := range p.serversByID {
		_, retired := p.policy.Retired[s.ID]
		v.Servers = append(v.Servers, ServerView{s.ServerInfo, s.granted, s.otherLoad, s.speed, s.usable(now), retired})
	}
	for _, c := range p.classesByTier {
		v.Classes = append(v.Classes, ClassView{c.name, c.queued, c.recentWork})
	}
	return v
}

// Waiting returns the number of waiting tickets.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Idle reports whether the pool has no waiting or running tickets.
func (p *Pool) Idle() bool { return len(p.waiting) == 0 && len(p.running) == 0 }

// WaitingForEntry returns the number of waiting tickets of an entry.
func (p *Pool) WaitingForEntry(entry string) int {
	n := 0
	for id := range p.waiting {
		if id.Entry == entry {
			n++
		}
	}
	return n
}
