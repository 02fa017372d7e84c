package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"cardamomwick.example/core/bundle"
)

// TestReferenceListsEveryKey compares the keys in docs/REFERENCE.md with those of the types.
func TestReferenceListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFERENCE.md")
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	collectKeys(reflect.TypeOf(Settings{}), "", &keys)
	collectKeys(reflect.TypeOf(bundle.Bundle{}), "", &keys)
	for _, k := range keys {
		if !strings.Contains(string(page), "| `"+k+"` |") {
			t.Errorf("docs/REFERENCE.md lacks %s", k)
		}
	}
	for _, line := range strings.Split(string(page), "\n") {
		name, ok := strings.CutPrefix(line, "| `")
		name, _, _ = strings.Cut(name, "`")
		if ok && strings.Contains(line, "|") && strings.Count(name, ".") > 0 && !strings.Contains(name, "/") && !contains(keys, name) {
			t.Errorf("docs/REFERENCE.md lists %s, which no type has", name)
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func collectKeys(t reflect.Type, prefix string, keys *[]string) {
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		switch {
		case !f.IsExported(): // not decoded from the file
		case f.Type.Kind() == reflect.Struct:
			collectKeys(f.Type, key+".", keys)
		case f.Type.Kind() == reflect.Map && f.Type.Elem().Kind() == reflect.Struct:
			collectKeys(f.Type.Elem(), key+".*.", keys)
		default:
			*keys = append(*keys, key)
		}
	}
}
