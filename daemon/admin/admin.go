// Package admin implements the operators' HTTP API: signed orders, and signed reads of the
// replica group, the instances, the backend servers and the audit trail.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/dispatcher"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/gossip"
	"cardamomwick.example/daemon/inbound"
	"cardamomwick.example/daemon/lease"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/settings"
)

const (
	methodInfo    = "admin.info"
	fanOutTimeout = time.Second
	orderTimeout  = 5 * time.Second
	// maxOrderBytes bounds an order, whose bundle is in base64.
	maxOrderBytes = 2 * bundle.MaxBytes
)

// Admin handles the requests of operators.
type Admin struct {
	Settings  *settings.Settings
	Holder    *lease.Holder
	Gossip    *gossip.Service
	Replicas  *replica.Client
	Transport *frame.Transport
	// LocalInfo returns the description of this instance.
	LocalInfo func() api.InstanceInfo
}

// Register registers the handler through which other instances read this one's description.
func (a *Admin) Register() {
	a.Transport.HandleRequest(methodInfo, func(context.Context, string, []byte) (any, error) {
		i := a.LocalInfo()
		return &i, nil
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// operators returns the operators of the bundle in force, or those of the settings before
// there is one.
func (a *Admin) operators() map[string]bundle.Operator {
	if b := a.Holder.Config().Bundle; b != nil {
		return b.Operators
	}
	out := map[string]bundle.Operator{}
	for name, key := range a.Settings.Trust.Operators {
		out[name] = bundle.Operator{PublicKey: key}
	}
	return out
}

// Signed wraps a handler so that it serves only reads signed by an operator.
func (a *Admin) Signed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := bundle.VerifyRead(r, a.operators(), time.Now()); err != nil {
			log.WithError(err).WithFields(log.Fields{"step": "verify operator", "peer": r.RemoteAddr, "path": r.URL.Path}).Warn("request refused")
			writeJSON(w, http.StatusUnauthorized, api.AdminError{Error: err.Error()})
			return
		}
		h(w, r)
	}
}

// Order proposes a signed order to the replicas. An operator may safely send it again.
func (a *Admin) Order(w http.ResponseWriter, r *http.Request) {
	var o bundle.SignedOrder
	body, err := inbound.ReadBody(w, r, inbound.BodyOptions{Max: maxOrderBytes})
	if err != nil {
		inbound.Respond(w, err)
		return
	}
	if err := json.Unmarshal(body, &o); err != nil {
		writeJSON(w, http.StatusBadRequest, api.AdminError{Error: "the order is not readable: " + err.Error()})
		return
	}
	if err := o.Verify(a.operators()); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "verify order", "peer": r.RemoteAddr, "operator": o.Operator}).Warn("order refused")
		writeJSON(w, http.StatusUnauthorized, api.AdminError{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	res, err := a.Replicas.Propose(ctx, &state.Command{Type: state.CommandOrder, Order: &o})
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, api.AdminError{Error: "the replicas did not answer; the order may be in force or not: send it again, unchanged. " + err.Error()})
		return
	}
	log.WithFields(log.Fields{"step": "order", "operator": o.Operator, "kind": string(o.Kind), "version": o.Version, "server": o.Server,
		"code": string(res.Code), "generation": res.Order.Generation}).Info("order answered")
	writeJSON(w, statusOf(res.Code), res)
}

func statusOf(c state.Code) int {
	switch c {
	case state.CodeOK:
		return http.StatusOK
	case state.CodeConflict, state.CodeStale, state.CodeExists:
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

// Status returns the state of the replica group.
func (a *Admin) Status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	st, err := a.Replicas.Status(ctx)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, api.AdminError{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, st)
}

// Audit returns the page of the audit trail that follows the sequence number ?after=.
func (a *Admin) Audit(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, api.AdminError{Error: "after must be a sequence number"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	list, err := a.Replicas.Audit(ctx, after)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, api.AdminError{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// Bundle returns the bundle in force at this instance.
func (a *Admin) Bundle(w http.ResponseWriter, _ *http.Request) {
	cfg := a.Holder.Config()
	out := api.BundleReply{Generation: cfg.Generation}
	if cfg.Bundle != nil {
		out.Version = cfg.Bundle.Version
		out.Digest = cfg.Bundle.Digest()
		out.Content = cfg.Bundle.Canonical()
	}
	writeJSON(w, http.StatusOK, out)
}

// Instances returns the descriptions of all instances, which it asks concurrently.
func (a *Admin) Instances(w http.ResponseWriter, r *http.Request) {
	list := a.Gossip.Instances()
	out := make([]api.InstanceInfo, len(list))
	a.fanOut(r.Context(), list, func(ctx context.Context, k int, i membership.Instance) {
		info := api.InstanceInfo{Name: i.Name, Zone: i.Zone, Address: i.CallerAddress, Draining: i.Draining}
		err := a.Transport.Call(ctx, i.PeerAddress, methodInfo, struct{}{}, &info)
		info.Reachable = err == nil
		out[k] = info
	})
	writeJSON(w, http.StatusOK, out)
}

// fanOut calls f concurrently for every instance and waits for all calls.
func (a *Admin) fanOut(ctx context.Context, list []membership.Instance, f func(context.Context, int, membership.Instance)) {
	ctx, cancel := context.WithTimeout(ctx, fanOutTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for k, i := range list {
		wg.Go(func() { f(ctx, k, i) })
	}
	wg.Wait()
}

// Servers returns the backend servers as their pools' dispatchers see them.
func (a *Admin) Servers(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, a.ServerList(r.Context()))
}

// ServerList returns the backend servers of each pool from the instance that dispatches it.
func (a *Admin) ServerList(ctx context.Context) []api.ServerEntry {
	list := a.Gossip.Instances()
	replies := make([]dispatcher.ViewReply, len(list))
	a.fanOut(ctx, list, func(ctx context.Context, k int, i membership.Instance) {
		if err := a.Transport.Call(ctx, i.PeerAddress, dispatcher.MethodView, struct{}{}, &replies[k]); err != nil {
			log.WithError(err).WithFields(log.Fields{"step": "view dispatcher", "peer": i.PeerAddress}).Warn("no answer")
		}
	})
	out := []api.ServerEntry{}
	for k, rep := range replies {
		for pool, v := range rep.Pools {
			if ranked := a.Gossip.Rank(pool); len(ranked) == 0 || ranked[0].Name != list[k].Name {
				continue
			}
			for _, s := range v.Servers {
				out = append(out, api.ServerEntry{Pool: pool, Dispatcher: list[k].Name, ServerView: s})
			}
		}
	}
	return out
}
