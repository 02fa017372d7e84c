package bundle

import (
	"crypto/ed25519"
	"net/http"
	"strings"
	"testing"
	"time"
)

const good = `
version = 3
[classes.mood]
tier = 1
idempotent = true
first_token_target = "400ms"
deadline = "20s"
share = 0.05
[pools.lumen]
kind = "model"
default_class = "mood"
announce_token_sha256 = ["0000000000000000000000000000000000000000000000000000000000000000"]
[customers.hotel]
key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000001"]
[operators.ana]
public_key = "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="
`

func TestParseGood(t *testing.T) {
	b, err := ParseTOML([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(b.Canonical())
	if err != nil || again.Digest() != b.Digest() {
		t.Fatalf("the canonical encoding does not decode to the same bundle: %v", err)
	}
}

func TestAllErrorsAreReported(t *testing.T) {
	bad := strings.NewReplacer("version = 3", "version = 0", "tier = 1", "tier = 99", `"400ms"`, `"30s"`, `kind = "model"`, `kind = "x"`,
		`default_class = "mood"`, `default_class = "none"`).Replace(good)
	_, err := ParseTOML([]byte(bad))
	if err == nil {
		t.Fatal("an invalid bundle was accepted")
	}
	for _, key := range []string{"version", "classes.mood.tier", "classes.mood.deadline", "pools.lumen.kind", "pools.lumen.default_class"} {
		if !strings.Contains(err.Error(), key+":") {
			t.Errorf("no error for key %s:\n%v", key, err)
		}
	}
	_, err = ParseTOML([]byte(good + "\n[classes.mood2]\nteir = 1\n"))
	if err == nil || !strings.Contains(err.Error(), "teir") || !strings.Contains(err.Error(), "line") {
		t.Fatalf("unknown key: %v", err)
	}
}

func TestDeltaProducesTargetBundle(t *testing.T) {
	a, _ := ParseTOML([]byte(good))
	b, _ := ParseTOML([]byte(strings.Replace(strings.Replace(good, "hotel", "villa", 1), "version = 3", "version = 4", 1)))
	d := Diff(a, b)
	got, err := d.Apply(a)
	if err != nil || got.Digest() != b.Digest() {
		t.Fatalf("delta: %v", err)
	}
	if _, err := d.Apply(b); err != ErrDeltaMismatch {
		t.Fatalf("delta applied to another bundle: %v, want ErrDeltaMismatch", err)
	}
	if lines := d.Lines(); len(lines) != 2 {
		t.Fatalf("lines are %q, want 2", lines)
	}
}

func TestSignedReads(t *testing.T) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	ops := map[string]Operator{"ana": {PublicKey: "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="}}
	now := time.Now()
	sign := func() *http.Request {
		r, _ := http.NewRequest(http.MethodGet, "http://x/admin/v1/audit?after=0", nil)
		SignRead(r, "ana", key, now)
		return r
	}
	if err := VerifyRead(sign(), ops, now); err != nil {
		t.Fatal(err)
	}
	if VerifyRead(sign(), ops, now.Add(time.Minute)) == nil {
		t.Error("an expired signature was accepted")
	}
	other := sign()
	other.URL.RawQuery = "after=5"
	if VerifyRead(other, ops, now) == nil {
		t.Error("a modified request was accepted")
	}
	if r, _ := http.NewRequest(http.MethodGet, "http://x/", nil); VerifyRead(r, ops, now) == nil {
		t.Error("an unsigned request was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	b, _ := ParseTOML([]byte(good))
	f.Add(b.Canonical())
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := Decode(data); err == nil {
			got.Check()
			got.Digest()
		}
	})
}

func FuzzParseTOML(f *testing.F) {
	f.Add(good)
	f.Fuzz(func(t *testing.T, text string) { _, _ = ParseTOML([]byte(text)) })
}
