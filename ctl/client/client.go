// Package client is the operators' side of a daemon's admin interface: it
// signs orders and reads, and goes on to another instance when one does not
// answer. Every request is safe to send again.
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
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
)

const (
	tryTimeout = 6 * time.Second
	retryPause = 100 * time.Millisecond
	maxReply   = 32 << 20
)

// ErrUnreachable: no instance answered in time.
var ErrUnreachable = eris.New("no instance answered")

// ErrRefused: an instance refused the request; sending it again won't help.
var ErrRefused = eris.New("refused")

// Key is an operator's signing key as kept in a file.
type Key struct {
	Operator string `toml:"operator"`
	// Private is the ed25519 seed in base64. Keep the file secret.
	Private string `toml:"private_key"`
	Public  string `toml:"public_key"`
}

// NewKey draws a key.
func NewKey(operator string) (*Key, error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "draw key")
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
		return nil, eris.Wrapf(err, "key file %s", file)
	}
	if seed, err := base64.StdEncoding.DecodeString(k.Private); err != nil || len(seed) != ed25519.SeedSize || k.Operator == "" {
		return nil, eris.Errorf("key file %s holds no operator key; make one with: cardamomctl keys generate", file)
	}
	return &k, nil
}

// Save writes the key to a file that only its owner can read.
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

func (k *Key) private() ed25519.PrivateKey {
	seed, err := base64.StdEncoding.DecodeString(k.Private)
	if err != nil {
		panic(err) // checked by LoadKey
	}
	return ed25519.NewKeyFromSeed(seed)
}

// Sign signs an order.
func (k *Key) Sign(o *bundle.SignedOrder) { o.Sign(k.Operator, k.private()) }

// Client reaches the instances at their caller addresses.
type Client struct {
	Addresses []string
	Key       *Key
}

// do sends a request to one instance after another until one has answered or
// the context ends.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	var last error
	for k := 0; ctx.Err() == nil; k++ {
		address := c.Addresses[k%len(c.Addresses)]
		status, err := c.try(ctx, address, method, path, body, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return status, err
		}
		last = err
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return 0, eris.Wrapf(ErrUnreachable, "%s: last error: %v", path, last)
}

func (c *Client) try(ctx context.Context, address, method, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(ErrRefused, err.Error())
	}
	if c.Key != nil && method == http.MethodGet {
		bundle.SignRead(req, c.Key.Operator, c.Key.private(), time.Now())
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return 0, err
	}
	switch {
	case resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusConflict, resp.StatusCode == http.StatusUnprocessableEntity:
		return resp.StatusCode, eris.Wrap(json.Unmarshal(data, out), "decode reply")
	case resp.StatusCode >= http.StatusInternalServerError:
		return 0, eris.Errorf("instance %s: status %d: %s", address, resp.StatusCode, data)
	}
	var e api.AdminError
	_ = json.Unmarshal(data, &e)
	return resp.StatusCode, eris.Wrapf(ErrRefused, "instance %s: %s", address, e.Error)
}

// Order sends a signed order until it is answered.
func (c *Client) Order(ctx context.Context, o *bundle.SignedOrder) (state.Result, error) {
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

// Status returns the replica group's state.
func (c *Client) Status(ctx context.Context) (api.GroupStatus, error) {
	return get[api.GroupStatus](ctx, c, api.PathStatus)
}

// Instances describes all instances.
func (c *Client) Instances(ctx context.Context) ([]api.InstanceInfo, error) {
	return get[[]api.InstanceInfo](ctx, c, api.PathInstances)
}

// Servers lists the backend servers.
func (c *Client) Servers(ctx context.Context) ([]api.ServerEntry, error) {
	return get[[]api.ServerEntry](ctx, c, api.PathServers)
}

// Bundle returns the bundle in force.
func (c *Client) Bundle(ctx context.Context) (api.BundleReply, error) {
	return get[api.BundleReply](ctx, c, api.PathBundle)
}

// Audit returns the whole audit trail behind a sequence.
func (c *Client) Audit(ctx context.Context, after uint64) ([]state.AuditEntry, error) {
	var all []state.AuditEntry
	for {
		page, err := get[[]state.AuditEntry](ctx, c, api.PathAudit+"?after="+uintText(after))
		if err != nil || len(page) == 0 {
			return all, err
		}
		all = append(all, page...)
		after = page[len(page)-1].Sequence
	}
}
