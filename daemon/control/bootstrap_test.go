package control

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/replica"
)

// leaderlessReplica answers as a replica that knows no leader, from a log in which a version is in
// force.
type leaderlessReplica struct {
	address string
	version atomic.Uint64
	// delay is the time that it takes for each answer.
	delay time.Duration
}

func testTransport(t *testing.T) *frame.Transport {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	return frame.NewTransport(address, []frame.Key{{ID: "k", Secret: make([]byte, 32)}}, nil)
}

func startLeaderless(t *testing.T, version uint64, delay time.Duration) *leaderlessReplica {
	t.Helper()
	tr := testTransport(t)
	l := &leaderlessReplica{address: tr.Self(), delay: delay}
	l.version.Store(version)
	tr.HandleRequest(methodWatch, l.answer)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tr.Serve(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	awaitListener(t, tr.Self())
	return l
}

func awaitListener(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return
		}
	}
	t.Fatalf("nothing listens on %s", address)
}

func (l *leaderlessReplica) answer(_ context.Context, _ string, body []byte) (any, error) {
	var req watchRequest
	if err := wire.Decode(body, &req); err != nil {
		return nil, err
	}
	time.Sleep(l.delay)
	switch {
	case req.Brief:
		return &watchReply{InForce: l.version.Load()}, nil
	case req.Stale:
		d := routing.Declaration{Version: l.version.Load()}
		data, err := d.Encode()
		if err != nil {
			return nil, err
		}
		compressed, err := compress(data)
		return &watchReply{Declaration: compressed}, err
	}
	return &watchReply{Redirect: redirectToAny()}, nil
}

// startWatch runs an entry's watch that knows the given replicas.
func startWatch(t *testing.T, addresses ...string) *Watch {
	t.Helper()
	tr := testTransport(t)
	d := replica.NewSeedDirectory(addresses, false)
	w := NewWatch(tr, replica.NewClient(tr, d), func(*routing.Table) {}, func([]fleet.Server) {})
	ctx, cancel := context.WithCancel(context.Background())
	served, watched := make(chan struct{}), make(chan struct{})
	go func() { tr.Serve(ctx); close(served) }()
	go func() { w.Serve(ctx); close(watched) }()
	t.Cleanup(func() { cancel(); <-watched; <-served })
	return w
}

// awaitVersion waits until a version is in force at a watch.
func awaitVersion(t *testing.T, w *Watch, want uint64, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); w.version() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d is not in force within %v, but %d", want, within, w.version())
		}
	}
}

// Guards against entries that start while there is no leader and serve by the declaration of a
// replica that lags, though another one has a newer.
func TestEntryTakesTheNewestDeclarationOfThoseThatAnswer(t *testing.T) {
	old := startLeaderless(t, 249, 0)
	newer := startLeaderless(t, 251, 10*time.Millisecond)
	w := startWatch(t, old.address, newer.address)
	awaitVersion(t, w, 251, 5*time.Second)
}

// Replies that come soon after the first one are compared with it; slow ones are not awaited.
func TestRepliesOfReplicasAreComparedBeforeOneIsUsed(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		want  uint64
	}{
		"the newer one comes in time": {comparisonTime - time.Millisecond, 251},
		"the newer one is slow":       {comparisonTime + time.Millisecond, 249},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replies := make(chan briefReply, 3)
				send := func(delay time.Duration, r *watchReply) {
					go func() { time.Sleep(delay); replies <- briefReply{reply: r} }()
				}
				send(0, &watchReply{Redirect: redirectToAny()})
				send(time.Millisecond, &watchReply{InForce: 249})
				send(time.Millisecond+c.delay, &watchReply{InForce: 251})
				if answers := collectAnswers(replies, 3); len(answers) == 0 || answers[0].reply.InForce != c.want {
					t.Errorf("%d answers, want version %d first", len(answers), c.want)
				}
				time.Sleep(time.Second) // the slow one ends
			})
		})
	}
}

// Guards against entries that keep what the first replica had, as long as there is no leader.
func TestEntryWithoutLeaderGoesOnLookingForANewerDeclaration(t *testing.T) {
	r := startLeaderless(t, 249, 0)
	w := startWatch(t, r.address)
	awaitVersion(t, w, 249, 5*time.Second)
	r.version.Store(251)
	awaitVersion(t, w, 251, 5*time.Second)
}
