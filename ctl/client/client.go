// Package client is the operators' client for the admin API of a daemon. It signs
// orders and read requests, and tries the next instance when one does not answer.
// All requests are idempotent.
package client

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

const (
	attemptTimeout = 6 * time.Second
	retryInterval  = 100 * time.Millisecond
	maxReplyBytes  = 32 << 20
)

// ErrUnreachable means that no instance answered in time.
var ErrUnreachable = eris.New("no instance answered")

// ErrRefused means that an instance rejected the request. Retrying does not help.
var ErrRefused = eris.New("refused")

// Key is an operator's signing key in the form of the key file.
type Key struct {
	Operator string `toml:"operator"`
	// Private is the ed25519 seed in base64. Keep the file secret.
	Private string `toml:"private_key"`
	Public  string `toml:"public_key"`
}

// NewKey generates a key pair for an operator.
func NewKey(operator string) (*Key, error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	return &Key{operator, base64.StdEncoding.EncodeToString(priv.Seed()), base64.StdEncoding.EncodeToString(pub)}, nil
}

// LoadKey reads a key file.
func LoadKey(file string) (*Key, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read key file")
	}
	var k Key
	if err := toml.Unmarshal(data, &k); err != nil {
		return nil, eris.Wrapf(err, "parse key file %s", file)
	}
	if seed, err := base64.StdEncoding.DecodeString(k.Private); err != nil || len(seed) != ed25519.SeedSize || k.Operator == "" {
		return nil, eris.Errorf("key file %s holds no operator key; make one with: cardamomctl keys generate", file)
	}
	return &k, nil
}

// Save writes the key to a new file that only its owner can read.
func (k *Key) Save(file string) error {
	data, err := toml.Marshal(k)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "write key file")
	}
	defer f.Close()
	_, err = f.Write(data)
	return eris.Wrap(err, "write key file")
}

func (k *Key) signingKey() ed25519.PrivateKey {
	seed, err := base64.StdEncoding.DecodeString(k.Private)
	if err != nil {
		panic(err) // checked by LoadKey
	}
	return ed25519.NewKeyFromSeed(seed)
}

// Sign signs an order.
func (k *Key) Sign(o *bundle.SignedOrder) { o.Sign(k.Operator, k.signingKey()) }

// Client sends requests to the caller addresses of the instances. Without a key, reads
// are not signed.
type Client struct {
	Addresses []string
	Key       *Key
}

// do sends a request to the instances in turn until one accepts or refuses it or the
// context ends. It returns the HTTP status.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	var lastErr error
	for n := 0; ctx.Err() == nil; n++ {
		address := c.Addresses[n%len(c.Addresses)]
		status, err := c.doOnce(ctx, address, method, path, body, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return status, err
		}
		lastErr = err
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return 0, eris.Wrapf(ErrUnreachable, "%s: last error: %v", path, lastErr)
}

func (c *Client) doOnce(ctx context.Context, address, method, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(ErrRefused, err.Error())
	}
	if c.Key != nil && method == http.MethodGet {
		bundle.SignRead(req, c.Key.Operator, c.Key.signingKey(), time.Now())
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, err
	}
	switch {
	case resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusConflict, resp.StatusCode == http.StatusUnprocessableEntity:
		return resp.StatusCode, eris.Wrap(json.Unmarshal(data, out), "decode reply")
	case resp.StatusCode >= http.StatusInternalServerError:
		return 0, eris.Errorf("instance %s: status %d: %s", address, resp.StatusCode, data)
	}
	var reply api.AdminError
	_ = json.Unmarshal(data, &reply)
	return resp.StatusCode, eris.Wrapf(ErrRefused, "instance %s: %s", address, reply.Error)
}

// SendOrder sends a signed order and returns its result.
func (c *Client) SendOrder(ctx context.Context, o *bundle.SignedOrder) (state.Result, error) {
	var res state.Result
	body, err := json.Marshal(o)
	if err != nil {
		return res, err
	}
	_, err = c.do(ctx, http.MethodPost, api.PathOrders, body, &res)
	return res, err
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	_, err := c.do(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Status returns the state of the replica group.
func (c *Client) Status(ctx context.Context) (api.GroupStatus, error) {
	return get[api.GroupStatus](ctx, c, api.PathStatus)
}

// Instances returns the state of all instances.
func (c *Client) Instances(ctx context.Context) ([]api.InstanceInfo, error) {
	return get[[]api.InstanceInfo](ctx, c, api.PathInstances)
}

// Servers returns the state of the backend servers.
func (c *Client) Servers(ctx context.Context) ([]api.ServerEntry, error) {
	return get[[]api.ServerEntry](ctx, c, api.PathServers)
}

// Bundle returns the bundle in force.
func (c *Client) Bundle(ctx context.Context) (api.BundleReply, error) {
	return get[api.BundleReply](ctx, c, api.PathBundle)
}

// Audit returns the audit entries after a sequence number, over all pages.
func (c *Client) Audit(ctx context.Context, after uint64) ([]state.AuditEntry, error) {
	var all []state.AuditEntry
	for {
		page, err := get[[]state.AuditEntry](ctx, c, api.PathAudit+"?after="+strconv.FormatUint(after, 10))
		if err != nil || len(page) == 0 {
			return all, err
		}
		all = append(all, page...)
		after = page[len(page)-1].Sequence
	}
}
