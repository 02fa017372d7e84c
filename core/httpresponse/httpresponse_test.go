package httpresponse

import (
	"errors"
	"strings"
	"testing"
)

// head returns a head with this status line and these field lines.
func head(lines ...string) string { return strings.Join(append(lines, "", ""), "\r\n") }

// Guards against status lines that are not what they are read as.
func TestStatusLines(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK":              200,
		"HTTP/1.1 200 ":                200,
		"HTTP/1.1 200":                 200,
		"HTTP/1.1  200 OK":             200,
		"HTTP/1.0 404 Not Found":       404,
		"HTTP/1.9 599 t\xe9xt\tand so": 599,
		"HTTP/1.1 100 Continue":        100,
		"HTTP/1.1 103 Early Hints":     103,
		"HTTP/1.1 000 X":               0,
		"HTTP/1.1 099 X":               0,
		"HTTP/1.1 101 Switching":       0,
		"HTTP/1.1 600 X":               0,
		"HTTP/1.1 999 X":               0,
		"HTTP/1.1 +20 OK":              0,
		"HTTP/1.1 -20 OK":              0,
		"HTTP/1.1 20 OK":               0,
		"HTTP/1.1 2000 OK":             0,
		"HTTP/1.1 200OK":               0,
		"HTTP/1.1\t200 OK":             0,
		"HTTP/1.1 200 a\x00b":          0,
		"HTTP/1.1 200 a\rb":            0,
		"HTTP/1.1 200 a\x7fb":          0,
		"HTTP/2.0 200 OK":              0,
		"HTTP/1.10 200 OK":             0,
		"http/1.1 200 OK":              0,
		"HTTP/1.1":                     0,
		"200 OK":                       0,
		"":                             0,
	} {
		got, err := CheckHead([]byte(head(line)))
		var malformed *Error
		if want == 0 && !errors.As(err, &malformed) || want != 0 && (err != nil || got != want) {
			t.Errorf("%q: status %d, error %v, want %d", line, got, err, want)
		}
	}
}

// Guards against a peer that passes an informational or invalid status on as a final one.
func TestFinalStatuses(t *testing.T) {
	for status := range 1001 {
		if got, want := CheckFinal(status) == nil, status >= 200 && status <= 599; got != want {
			t.Errorf("status %d: valid %t, want %t", status, got, want)
		}
	}
}

// Guards against log lines as long as the answer, or with control bytes of it.
func TestErrorsAreBoundedAndEscaped(t *testing.T) {
	_, err := CheckHead([]byte(head("HTTP/1.1 999 \x1b[2J" + strings.Repeat("\xff\n", 1<<16))))
	if err == nil || len(err.Error()) > 512 || strings.ContainsFunc(err.Error(), func(r rune) bool { return r < ' ' || r > '~' }) {
		t.Errorf("error %q", err)
	}
}
