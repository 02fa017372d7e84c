package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// simulation runs tables on a simulated clock; isolated instances neither send nor receive.
type simulation struct {
	now      time.Time
	tables   map[string]*Table
	isolated map[string]bool
	sent     int
}

func newSimulation(n int) *simulation {
	s := &simulation{now: time.Unix(1_800_000_000, 0), tables: map[string]*Table{}, isolated: map[string]bool{}}
	rnd := rand.New(rand.NewSource(1))
	for k := range n {
		a := fmt.Sprintf("a%d", k)
		s.tables[a] = New(Instance{Name: a, PeerAddress: a, Process: "p"}, []string{"a0", "a1"}, s.now, rnd.Intn)
	}
	return s
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		for k := range len(s.tables) {
			a := fmt.Sprintf("a%d", k)
			s.deliver(a, s.tables[a].Tick(s.now))
		}
	}
}

func (s *simulation) deliver(from string, list []Outgoing) {
	for _, o := range list {
		s.sent++
		if t := s.tables[o.To]; t != nil && !s.isolated[from] && !s.isolated[o.To] {
			s.deliver(o.To, t.Handle(s.now, o.Message))
		}
	}
}

func (s *simulation) memberCount(at string) int { return len(s.tables[at].Instances()) }

func TestFailureIsDetectedAndRecoversAfterPartition(t *testing.T) {
	s := newSimulation(9)
	s.run(8 * time.Second)
	for a := range s.tables {
		if s.memberCount(a) != 9 {
			t.Fatalf("%s sees %d of 9", a, s.memberCount(a))
		}
	}
	s.isolated["a4"] = true
	start := s.now
	for s.memberCount("a0") == 9 {
		s.run(50 * time.Millisecond)
	}
	t.Logf("a lost instance was declared dead after %v", s.now.Sub(start))
	if s.now.Sub(start) > 6*time.Second {
		t.Fatal("the lost instance was detected too late")
	}
	s.run(30 * time.Second)
	s.isolated["a4"] = false
	s.run(20 * time.Second)
	for a := range s.tables {
		if s.memberCount(a) != 9 {
			t.Fatalf("after healing %s sees %d of 9", a, s.memberCount(a))
		}
	}
}

// The number of messages per instance and second must not grow with the number of
// instances.
func TestLoadPerInstanceIsConstant(t *testing.T) {
	rate := func(n int) float64 {
		s := newSimulation(n)
		s.run(20 * time.Second)
		s.sent = 0
		s.run(20 * time.Second)
		return float64(s.sent) / 20 / float64(n)
	}
	small, large := rate(9), rate(120)
	t.Logf("messages per instance and second: %.1f with 9, %.1f with 120", small, large)
	if large > 1.5*small {
		t.Fatal("the load per instance grows with their number")
	}
}

func TestRankMovesOnlyKeysOfLostInstance(t *testing.T) {
	var list []Instance
	for k := range 9 {
		list = append(list, Instance{Name: fmt.Sprint("i", k)})
	}
	for k := range 200 {
		key := fmt.Sprint("pool", k)
		before := Rank(key, list)
		after := Rank(key, list[1:])
		if before[0].Name != list[0].Name && before[0].Name != after[0].Name {
			t.Fatalf("%s moved from %s to %s although %s was lost", key, before[0].Name, after[0].Name, list[0].Name)
		}
	}
}

func TestTopTwoAreTheFirstOfTheRanking(t *testing.T) {
	var list []Instance
	for i := range 50 {
		for k := range 20 {
			key := fmt.Sprint("key ", k)
			want := Rank(key, list)
			got := TopTwo(key, list)
			if !slices.Equal(got, want[:min(2, len(want))]) {
				t.Fatalf("of %d instances got %v, want %v", i, got, want[:min(2, len(want))])
			}
		}
		list = append(list, Instance{Name: fmt.Sprint("instance-", i)})
	}
}
