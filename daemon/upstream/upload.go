package upstream

import (
	"fmt"
	"time"

	"cardamomwick.example/core/tcpack"
)

// upload is the writing of a call to a connection.
type upload struct {
	done chan struct{}
	err  error // set once done is closed
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// end records the result.
func (u *upload) end(err error) {
	u.err = err
	close(u.done)
}

// succeeded reports whether the whole call was written. A server that answered earlier still expects
// the rest, so that the connection can't carry another call.
func (u *upload) succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// await waits until the server has received the whole call, and returns an error if it does not. A
// connection reports its reset once, to the reader or the writer, so that a reader may see an end
// instead. The end of the call's context ends the wait, since it closes the connection.
func (u *upload) await(c *conn) error {
	<-u.done
	if u.err != nil {
		return fmt.Errorf("write the rest of the call: %w", u.err)
	}
	for ; ; time.Sleep(tcpack.PollInterval) {
		if received, err := tcpack.Complete(c.Conn); err != nil || received {
			return err
		}
	}
}
