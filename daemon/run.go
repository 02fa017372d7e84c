package daemon

import (
	"context"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomwick.example/daemon/frame"
)

// runTree runs a supervisor tree above the transport, which outlives it so that
// leadership can be handed on, until stop ends; then it drains and stops both.
// It returns the drain's error, or the reason for which the tree ended by itself.
func runTree(stop context.Context, transport *frame.Transport, root *suture.Supervisor, who log.Fields, drain func() error) error {
	base, endBase := context.WithCancel(context.Background())
	defer endBase()
	below := supervisor("transport")
	below.Add(transport)
	baseErr := below.ServeBackground(base)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	treeErr := root.ServeBackground(ctx)
	log.WithFields(who).Info("instance started")
	select {
	case err := <-treeErr:
		endBase()
		<-baseErr
		return eris.Wrap(err, "instance failed")
	case <-stop.Done():
	}
	err := drain()
	end()
	<-treeErr
	endBase()
	<-baseErr
	log.Info("instance stopped")
	return err
}
