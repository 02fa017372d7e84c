package daemon

import (
	"context"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomwick.example/daemon/frame"
)

// runTree runs the transport and a supervisor tree until stop is done, then drains and stops
// both. The transport stops last: a stopping leader uses it to transfer the leadership.
// runTree returns the error of the drain, or the reason why the tree ended by itself.
func runTree(stop context.Context, transport *frame.Transport, root *suture.Supervisor, startFields log.Fields, drain func() error) error {
	transportCtx, endTransport := context.WithCancel(context.Background())
	defer endTransport()
	transportRoot := supervisor("transport")
	transportRoot.Add(transport)
	transportErr := transportRoot.ServeBackground(transportCtx)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	treeErr := root.ServeBackground(ctx)
	log.WithFields(startFields).Info("instance started")
	select {
	case err := <-treeErr:
		endTransport()
		<-transportErr
		return eris.Wrap(err, "instance failed")
	case <-stop.Done():
	}
	err := drain()
	end()
	<-treeErr
	endTransport()
	<-transportErr
	log.Info("instance stopped")
	return err
}
