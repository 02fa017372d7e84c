package daemon

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/internal/testport"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/settings"
)

var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

const (
	customerKey   = "the customer's key"
	announceToken = "the pool's token"
)

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// startSingleReplica runs an instance that is the only replica, until the test ends.
func startSingleReplica(t *testing.T) (d *Daemon, url string) {
	t.Helper()
	peer, callers := testport.Reserve(t), testport.Reserve(t)
	text := fmt.Sprintf("[instance]\nname=\"i1\"\navailability_zone=\"a\"\ndata_folder=%q\n[callers]\naddress=%q\naddress_ttl=\"100ms\"\nmax_body_bytes=4096\n[peers]\naddress=%q\nseeds=[%q]\n"+
		"[[peers.keys]]\nid=\"k\"\nsecret=\"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"\n[replicas]\naddresses=[%q]\n[trust.operators]\nana=%q\n[metrics]\ntoken=\"m\"\n",
		t.TempDir(), callers, peer, peer, peer, base64.StdEncoding.EncodeToString(operatorKey.Public().(ed25519.PublicKey)))
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d, err = New(s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
	url = "http://" + callers
	waitFor(t, "a fresh lease", func() bool { return d.holder.Fresh() })
	return d, url
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// send makes a request and returns status, headers and body.
func send(t *testing.T, method, url string, headers map[string]string, body string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data)
}

func publishBundle(t *testing.T, url string) {
	t.Helper()
	d := bundle.Duration(5 * time.Second)
	class := bundle.Class{Tier: 1, Idempotent: true, FirstTokenTarget: d, Deadline: d, Order: bundle.QueueFIFO, GiveUp: bundle.GiveUpDeadline, WhenIsolated: bundle.IsolatedRefuse}
	once := class
	once.Idempotent = false
	b := &bundle.Bundle{Version: 1, Classes: map[string]bundle.Class{"chat": class, "once": once},
		Pools: map[string]bundle.Pool{"lumen": {Kind: bundle.PoolModel, DefaultClass: "chat", AnnounceTokens: []string{digest(announceToken)}},
			"fixtures": {Kind: bundle.PoolService, DefaultClass: "once", AnnounceTokens: []string{digest(announceToken)}}},
		Customers: map[string]bundle.Customer{"hotel": {Keys: []string{digest(customerKey)}, Weight: 1}},
		Operators: map[string]bundle.Operator{"ana": {PublicKey: base64.StdEncoding.EncodeToString(operatorKey.Public().(ed25519.PublicKey))}}}
	o := &bundle.SignedOrder{Kind: bundle.OrderPublish, Version: 1, Digest: b.Digest(), Content: b.Canonical()}
	o.Sign("ana", operatorKey)
	body, _ := json.Marshal(o)
	if status, _, text := send(t, "POST", url+api.PathOrders, nil, string(body)); status != http.StatusOK {
		t.Fatalf("publish: %d %s", status, text)
	}
	waitFor(t, "the bundle in force", func() bool {
		status, _, _ := send(t, "GET", url+api.PathHealth, nil, "")
		return status == http.StatusOK
	})
}

// Requests without a valid key, token or signature, and malformed requests, must be refused
// with a typed error and without effect.
func TestUnauthorizedRequestsAreRefused(t *testing.T) {
	_, url := startSingleReplica(t)
	publishBundle(t, url)
	forged := &bundle.SignedOrder{Kind: bundle.OrderRetire, Server: "s", Expected: 1}
	forged.Sign("ana", ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize)))
	order, _ := json.Marshal(forged)
	cases := []struct {
		name, method, path, auth, body string
		status                         int
	}{
		{"order with a strange key", "POST", api.PathOrders, "", string(order), 401},
		{"order that is no JSON", "POST", api.PathOrders, "", "{", 400},
		{"status unsigned", "GET", api.PathStatus, "", "", 401},
		{"audit unsigned", "GET", api.PathAudit + "?after=0", "", "", 401},
		{"bundle unsigned", "GET", api.PathBundle, "", "", 401},
		{"instances unsigned", "GET", api.PathInstances, "", "", 401},
		{"servers unsigned", "GET", api.PathServers, "", "", 401},
		{"metrics without the token", "GET", api.PathMetrics, "", "", 401},
		{"announcement with a strange token", "POST", api.PathAnnounce, "x", `{"pool":"lumen","id":"e","address":"127.0.0.1:1","slots":1}`, 401},
		{"announcement of a bad address", "POST", api.PathAnnounce, announceToken, `{"pool":"lumen","id":"e","address":"somewhere","slots":1}`, 400},
		{"announcement of too many slots", "POST", api.PathAnnounce, announceToken, `{"pool":"lumen","id":"e","address":"127.0.0.1:1","slots":99999}`, 400},
		{"call without a key", "POST", api.PathChat, "", `{"model":"lumen","messages":[{}]}`, 401},
		{"call with a strange key", "POST", api.PathChat, "x", `{"model":"lumen","messages":[{}]}`, 401},
		{"call that is no JSON", "POST", api.PathChat, customerKey, "{", 400},
		{"call with wrong types", "POST", api.PathChat, customerKey, `{"model":7,"messages":[{}]}`, 400},
		{"call of an unknown model", "POST", api.PathChat, customerKey, `{"model":"x","messages":[{}]}`, 404},
		{"call of a service as a model", "POST", api.PathChat, customerKey, `{"model":"fixtures","messages":[{}]}`, 404},
		{"call that is too large", "POST", api.PathChat, customerKey, `{"model":"lumen","messages":["` + strings.Repeat("x", 5000) + `"]}`, 413},
		{"once-only call without its key", "POST", api.PathServices + "fixtures/dim", customerKey, "{}", 400},
		{"no such path", "GET", "/v2/x", "", "", 404},
	}
	for _, c := range cases {
		headers := map[string]string{}
		if c.auth != "" {
			headers["Authorization"] = "Bearer " + c.auth
		}
		status, _, text := send(t, c.method, url+c.path, headers, c.body)
		if status != c.status {
			t.Errorf("%s: status %d, want %d: %s", c.name, status, c.status, text)
		}
		if strings.HasPrefix(c.name, "call") && !strings.Contains(text, `"outcome":"not_run"`) {
			t.Errorf("%s: no outcome in %s", c.name, text)
		}
	}
	for value, want := range map[string]int{"0": 408, "-5": 408, "soon": 400, "99999999": 400} {
		status, _, text := send(t, "POST", url+api.PathChat, map[string]string{"Authorization": "Bearer " + customerKey, api.HeaderDeadline: value}, `{"model":"lumen","messages":[{}]}`)
		if status != want {
			t.Errorf("deadline %q: status %d, want %d: %s", value, status, want, text)
		}
	}
}

// unreachableSource is a lease source that never answers.
type unreachableSource struct{}

func (unreachableSource) Lease(ctx context.Context, _ uint64) (replica.Lease, error) {
	<-ctx.Done()
	return replica.Lease{}, ctx.Err()
}

// An instance without a lease must refuse new calls, and announcements as well: it can't
// forward them, so that the server would stay unknown to all other instances.
func TestIsolatedInstanceRefusesCallsAndAnnouncements(t *testing.T) {
	d, url := startSingleReplica(t)
	publishBundle(t, url)
	d.holder.SetSource(unreachableSource{})
	waitFor(t, "the lease lapsed", func() bool { return !d.holder.Fresh() })
	announcement := `{"pool":"lumen","id":"e1","address":"127.0.0.1:1","slots":2}`
	status, _, text := send(t, "POST", url+api.PathAnnounce, map[string]string{"Authorization": "Bearer " + announceToken}, announcement)
	if status != http.StatusServiceUnavailable || !strings.Contains(text, string(api.ErrorEntryIsolated)) {
		t.Errorf("announcement: %d %s", status, text)
	}
	status, h, text := send(t, "POST", url+api.PathChat, map[string]string{"Authorization": "Bearer " + customerKey}, `{"model":"lumen","messages":[{}]}`)
	if status != http.StatusServiceUnavailable || h.Get(api.HeaderOutcome) != string(state.OutcomeNotRun) || h.Get("Retry-After") == "" {
		t.Errorf("call: %d %v %s", status, h, text)
	}
	if status, _, text := send(t, "GET", url+api.PathHealth, nil, ""); status != http.StatusServiceUnavailable || !strings.Contains(text, "isolated") {
		t.Errorf("health: %d %s", status, text)
	}
}

// A call reaches an announced server and is answered completely, and the audit trail
// contains the publish order.
func TestCallAndAudit(t *testing.T) {
	_, url := startSingleReplica(t)
	publishBundle(t, url)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"warm \"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"light\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}))
	defer engine.Close()
	announcement := fmt.Sprintf(`{"pool":"lumen","id":"e1","address":%q,"availability_zone":"a","slots":2}`, strings.TrimPrefix(engine.URL, "http://"))
	if status, _, text := send(t, "POST", url+api.PathAnnounce, map[string]string{"Authorization": "Bearer " + announceToken}, announcement); status != http.StatusOK {
		t.Fatalf("announce: %d %s", status, text)
	}
	auth := map[string]string{"Authorization": "Bearer " + customerKey}
	status, h, text := send(t, "POST", url+api.PathChat, auth, `{"model":"lumen","messages":[{"role":"user","content":"light?"}]}`)
	if status != http.StatusOK || h.Get(api.HeaderOutcome) != string(state.OutcomeCompleted) || !strings.Contains(text, "warm light") {
		t.Fatalf("call: %d %v %s", status, h, text)
	}
	_, _, text = send(t, "POST", url+api.PathChat, auth, `{"model":"lumen","stream":true,"messages":[{"role":"user","content":"light?"}]}`)
	if !strings.Contains(text, ": outcome completed") || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Fatalf("stream: %s", text)
	}
	req, _ := http.NewRequest("GET", url+api.PathAudit+"?after=0", nil)
	bundle.SignRead(req, "ana", operatorKey, time.Now())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list []state.AuditEntry
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil || len(list) != 1 || state.VerifyAudit(list) != nil {
		t.Fatalf("audit: %v %+v", err, list)
	}
	status, _, text = send(t, "GET", url+api.PathMetrics, map[string]string{"Authorization": "Bearer m"}, "")
	if status != http.StatusOK || !strings.Contains(text, `cardamomwick_attained_total{class="chat"} 2`) {
		t.Fatalf("metrics: %d\n%s", status, text)
	}
}
