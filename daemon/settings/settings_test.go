package settings

import (
	"strings"
	"testing"
)

const valid = `
[instance]
name = "i1"
availability_zone = "a"
[callers]
address = "127.0.0.1:7001"
[peers]
address = "127.0.0.1:7101"
seeds = ["127.0.0.1:7101"]
[[peers.keys]]
id = "k1"
secret = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
[replicas]
addresses = ["127.0.0.2:7101"]
[trust.operators]
ana = "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik="
`

func TestValidSettings(t *testing.T) {
	s, err := Parse("x.toml", []byte(valid))
	if err != nil || s.Callers.MaxBodyBytes != DefaultMaxBody {
		t.Fatalf("%v %+v", err, s)
	}
}

func TestEveryProblemNamesFileKeyAndReason(t *testing.T) {
	for old, want := range map[string]string{
		`"127.0.0.1:7001"`:                    "x.toml: callers.address: \"somewhere\"",
		`availability_zone = "a"`:             "x.toml: instance.availability_zone: is required",
		`name = "i1"`:                         "x.toml: instance.nmae: unknown key (line 3)",
		`"127.0.0.2:7101"`:                    "x.toml: replicas.addresses",
		`"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA`: "x.toml: peers.keys.secret",
		`[instance]`:                          "x.toml: line 2",
	} {
		invalid := map[string]string{`"127.0.0.1:7001"`: `"somewhere"`, `availability_zone = "a"`: "", `name = "i1"`: `nmae = "i1"`,
			`"127.0.0.2:7101"`: `"127.0.0.2:7101", "127.0.0.3:7101"`, `"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA`: `"`, `[instance]`: `[instance`}[old]
		_, err := Parse("x.toml", []byte(strings.Replace(valid, old, invalid, 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v; want %q", old, err, want)
		}
	}
	_, err := Parse("x.toml", []byte(""))
	if err == nil || strings.Count(err.Error(), "\n") < 5 {
		t.Errorf("an empty file: %v; want all problems at once", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text string) { _, _ = Parse("x", []byte(text)) })
}
