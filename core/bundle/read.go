package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers of a signed read request.
const (
	HeaderOperator  = "X-Operator"
	HeaderTimestamp = "X-Timestamp"
	HeaderSignature = "X-Signature"
)

// MaxReadSkew is the maximum difference between a signed read's timestamp and the
// daemon's clock.
const MaxReadSkew = 30 * time.Second

func signedReadBytes(method, uri, stamp string) []byte {
	return []byte("cardamomwick read 1\n" + method + " " + uri + "\n" + stamp)
}

// SignRead signs a read-only request.
func SignRead(r *http.Request, operator string, key ed25519.PrivateKey, now time.Time) {
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	r.Header.Set(HeaderOperator, operator)
	r.Header.Set(HeaderTimestamp, stamp)
	sig := ed25519.Sign(key, signedReadBytes(r.Method, r.URL.RequestURI(), stamp))
	r.Header.Set(HeaderSignature, base64.StdEncoding.EncodeToString(sig))
}

// VerifyRead verifies a request signed by SignRead.
func VerifyRead(r *http.Request, operators map[string]Operator, now time.Time) error {
	stamp := r.Header.Get(HeaderTimestamp)
	ms, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil {
		return fmt.Errorf("header %s is missing or not a number", HeaderTimestamp)
	}
	if d := now.Sub(time.UnixMilli(ms)).Abs(); d > MaxReadSkew {
		return fmt.Errorf("the request's time is %v away from this instance's clock", d.Round(time.Second))
	}
	op, ok := operators[r.Header.Get(HeaderOperator)]
	if !ok {
		return fmt.Errorf("operator %q is not known", r.Header.Get(HeaderOperator))
	}
	key, err := ParsePublicKey(op.PublicKey)
	if err != nil {
		return err
	}
	sig, err := base64.StdEncoding.DecodeString(r.Header.Get(HeaderSignature))
	if err != nil || !ed25519.Verify(key, signedReadBytes(r.Method, r.URL.RequestURI(), stamp), sig) {
		return fmt.Errorf("the signature does not fit the request")
	}
	return nil
}
