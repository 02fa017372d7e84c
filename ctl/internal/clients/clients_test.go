// Package clients tests what clients that don't keep to the limits can do to an instance with its own
// interface. The tests check no times, and run one at a time.
package clients

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/crowd"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/harness"
)

const (
	headClients = 500
	openClients = 1000
	// unfinishedHeadBytes is just under the largest head that is read.
	unfinishedHeadBytes = 60 << 10
	// chatClients send bodies of chatBytes, the default limit, and orderClients orders of orderBytes,
	// the largest that are read.
	chatClients, chatBytes   = 300, 1 << 20
	orderClients, orderBytes = 30, 2 * bundle.MaxBytes
)

// instance is a cluster of one instance.
type instance struct {
	*harness.Cluster
	ctx     context.Context
	version uint64
}

func start(t *testing.T, descriptors int) *instance {
	t.Helper()
	os.Getenv("CARDAMOMWICK_PROGRAMS") // makes the test cache depend on the programs
	t.Setenv("GOMEMLIMIT", strconv.Itoa(crowd.MachineMemory))
	bin, err := filepath.Abs("../../../bin")
	if err != nil {
		t.Fatal(err)
	}
	c, err := harness.New(harness.Options{BinDir: bin, WorkDir: t.TempDir(), InstanceCount: 1, ReplicaCount: 1, Zones: []string{"a"}, Customers: []string{"hotel"}, MaxDescriptors: descriptors})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.StartAll(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	if err := c.WaitInstancesReady(ctx, 0); err != nil {
		t.Fatal(err)
	}
	in := &instance{Cluster: c, ctx: ctx}
	in.awaitPublished(t)
	return in
}

// awaitPublished publishes a new version until it is accepted, and waits until it is in force.
func (in *instance) awaitPublished(t *testing.T) {
	t.Helper()
	in.version++
	b := &bundle.Bundle{Version: in.version, Pools: map[string]bundle.Pool{"lumen": {Kind: bundle.PoolModel, DefaultClass: "mood"}},
		Classes: map[string]bundle.Class{"mood": {Tier: 1, Idempotent: true, FirstTokenTarget: bundle.Duration(time.Second), Deadline: bundle.Duration(time.Minute), Share: 0.05,
			Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}}}
	in.await(t, "an order", func() bool {
		res, err := in.Client.Publish(in.ctx, in.CompleteBundle(b))
		return err == nil && (res.Code == state.CodeOK || res.Code == state.CodeStale) && in.Client.WaitInForce(in.ctx, res.Order.Generation, nil) == nil
	})
}

func (in *instance) await(t *testing.T, what string, answered func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(in.ctx, crowd.AnswerTimeout)
	defer cancel()
	if err := harness.WaitFor(ctx, what+" is answered", answered); err != nil {
		t.Error(err)
	}
}

// listsAddresses reports whether the instance answers a caller.
func (in *instance) listsAddresses() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.Instances[0].CallerAddress + api.PathAddresses)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// withstand lets a crowd loose at the instance, and checks that ordinary requests are answered
// meanwhile and that its process has lived within its bounds.
func (in *instance) withstand(t *testing.T, clients int, s crowd.Script) {
	t.Helper()
	watch := crowd.WatchProcess(in.Instances[0].PID(), in.MaxDescriptors)
	c := crowd.Start(in.Instances[0].CallerAddress, clients, s)
	defer c.Stop()
	c.AwaitFirst(crowd.SendTimeout)
	in.await(t, "an ordinary request", in.listsAddresses)
	in.awaitPublished(t)
	peaks, errs := watch.Check()
	t.Log(peaks)
	for _, err := range errs {
		t.Error(err)
	}
}

func chat(in *instance) crowd.Request {
	return crowd.Request{Method: http.MethodPost, Path: api.PathChat, Headers: []string{"Host: h.example", "Authorization: Bearer " + in.CustomerKeys["hotel"]}}
}

func TestOwnInterfaceWithManyShortHeaderLines(t *testing.T) {
	in := start(t, 0)
	in.withstand(t, headClients, chat(in).SendShortLines(unfinishedHeadBytes))
}

func TestOwnInterfaceWithUnfinishedHeads(t *testing.T) {
	in := start(t, 0)
	in.withstand(t, headClients, chat(in).SendUnfinishedHeads())
}

func TestOwnInterfaceWithEmptyLinesWithoutEnd(t *testing.T) {
	in := start(t, 0)
	in.withstand(t, headClients, chat(in).SendEmptyLines())
}

func TestOwnInterfaceHeldOpen(t *testing.T) {
	in := start(t, crowd.MaxDescriptors)
	in.withstand(t, openClients, chat(in).Hold())
}

func TestOwnInterfaceWithLargeBodies(t *testing.T) {
	t.Run("chats", func(t *testing.T) {
		in := start(t, 0)
		in.withstand(t, chatClients, chat(in).SendBodies(chatBytes))
	})
	t.Run("orders", func(t *testing.T) {
		in := start(t, 0)
		r := crowd.Request{Method: http.MethodPost, Path: api.PathOrders, Headers: []string{"Host: h.example"}}
		in.withstand(t, orderClients, r.SendBodies(orderBytes))
	})
}
