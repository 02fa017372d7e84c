package control

import (
	"sync"
	"time"
)

// minNotifyInterval is the minimum interval between two notifications. While thousands of
// servers announce themselves, the fleet changes with each message from another replica,
// and each notification makes every watch request compute its changes.
const minNotifyInterval = 100 * time.Millisecond

// notifier notifies the watch requests of changes of the fleet. Safe for concurrent use; it
// locks nothing else.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
	// count is the number of notifications.
	count uint64
	last  time.Time
	// scheduled is set while a delayed notification is scheduled.
	scheduled bool
}

func newNotifier() notifier { return notifier{changed: make(chan struct{})} }

// notify notifies the watch requests, immediately or when minNotifyInterval has passed since
// the last notification.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scheduled {
		return
	}
	if left := minNotifyInterval - time.Since(n.last); left > 0 {
		n.scheduled = true
		time.AfterFunc(left, n.notifyNow)
		return
	}
	n.wake()
}

func (n *notifier) notifyNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.scheduled = false
	n.wake()
}

// wake wakes all that wait. The caller holds n.mu.
func (n *notifier) wake() {
	n.last = time.Now()
	n.count++
	close(n.changed)
	n.changed = make(chan struct{})
}

// next returns the number of notifications so far, and a channel that is closed at the next.
func (n *notifier) next() (count uint64, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count, n.changed
}
