package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
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
		if got, want := CheckFinal(status, nil) == nil, status >= 200 && status <= 599; got != want {
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

// Guards against fields that are repaired, dropped or joined on the way, and with them the framing.
func TestFieldLines(t *testing.T) {
	for lines, ok := range map[string]bool{
		"X: y":                        true,
		"x-y_z.1: ":                   true,
		"!#$%&'*+-.^_`|~09:y":         true,
		"X:":                          true,
		"X: \t a b\tc \t":             true,
		"X: caf\xe9 \xff":             true,
		"X: a\r\nx: b\r\nX: c":        true,
		"X y: z":                      false,
		"X : y":                       false,
		"X\t: y":                      false,
		"X\x00: y":                    false,
		"\x1bX: y":                    false,
		"X\x7f: y":                    false,
		"X\xe9: y":                    false,
		"X(y): z":                     false,
		": y":                         false,
		"no colon":                    false,
		"X: a\x00b":                   false,
		"X: a\rb":                     false,
		"X: a\x7fb":                   false,
		" X: y":                       false,
		"X: y\r\n z":                  false,
		"X: y\r\n\tz: a":              false,
		"X: y\r\n \r\nZ: a":           false,
		"Transfer-Encoding : chunked": false,
		"Content Length: 2":           false,
		"Content-Length\x00: 2":       false,
	} {
		text := head("HTTP/1.1 200 OK", "A: b", lines, "C: d")
		for _, text := range []string{text, strings.ReplaceAll(text, "\r\n", "\n"), head("HTTP/1.1 103 X", lines), head("HTTP/1.0 304 X", lines)} {
			if _, err := CheckHead([]byte(text)); (err == nil) != ok {
				t.Errorf("%q: %v", text, err)
			}
		}
	}
}

// Guards against a framing that sender and recipient may understand differently.
func TestFraming(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	for _, c := range []struct {
		ok    bool
		lines []string
	}{
		{true, []string{"HTTP/1.1 200 OK"}},
		{true, []string{"HTTP/1.1 200 OK", "Content-Length: 0"}},
		{true, []string{"HTTP/1.1 200 OK", "content-length:007  "}},
		{true, []string{"HTTP/1.1 200 OK", "Content-Length: 9223372036854775807"}},
		{true, []string{"HTTP/1.1 200 OK", "Content-Length: 2", "content-length: 2"}},
		{true, []string{"HTTP/1.1 200 OK", "transfer-encoding: CHUNKED"}},
		{true, []string{"HTTP/1.1 200 OK", "Content-Encoding: gzip", chunked}},
		{true, []string{"HTTP/1.1 304 X", "Content-Length: 5"}},
		{true, []string{"HTTP/1.1 204 X", "Content-Length: 0"}},
		{true, []string{"HTTP/1.0 200 X", "Content-Length: 5"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 9223372036854775808"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 2", "Content-Length: 3"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 2, 2"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: +2"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: -2"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 0x2"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 2 2"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 1_0"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length:"}},
		{false, []string{"HTTP/1.1 200 OK", "Content-Length: 2", chunked}},
		{false, []string{"HTTP/1.1 200 OK", chunked, "Content-Length: 2"}},
		{false, []string{"HTTP/1.1 200 OK", chunked, chunked}},
		{false, []string{"HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked"}},
		{false, []string{"HTTP/1.1 200 OK", "Transfer-Encoding: identity"}},
		{false, []string{"HTTP/1.1 200 OK", "Transfer-Encoding: "}},
		{false, []string{"HTTP/1.1 200 OK", "Transfer-Encoding: xchunked"}},
		{false, []string{"HTTP/1.0 200 OK", chunked}},
		{false, []string{"HTTP/1.1 103 X", "Content-Length: 5"}},
		{false, []string{"HTTP/1.1 100 X", chunked}},
		{false, []string{"HTTP/1.1 204 X", "Content-Length: 5"}},
		{false, []string{"HTTP/1.1 204 X", chunked}},
	} {
		if _, err := CheckHead([]byte(head(c.lines...))); (err == nil) != c.ok {
			t.Errorf("%q: %v", c.lines, err)
		}
	}
}

// Guards against decoded fields that no parser should have let through.
func TestDecodedFields(t *testing.T) {
	for _, c := range []struct {
		ok     bool
		fields http.Header
	}{
		{true, nil},
		{true, http.Header{"X": {"", "a\tb\xe9"}, "y": nil}},
		{false, http.Header{"": {"a"}}},
		{false, http.Header{"X Y": {"a"}}},
		{false, http.Header{"X\n": {"a"}}},
		{false, http.Header{"X": {"a", "b\r\nZ: c"}}},
	} {
		if err := CheckFinal(http.StatusOK, c.fields); (err == nil) != c.ok {
			t.Errorf("%q: %v", c.fields, err)
		}
	}
}

// FuzzCheckHead compares the check with net/http's parser: it accepts nothing that the parser refuses
// or reads in another way.
func FuzzCheckHead(f *testing.F) {
	for _, lines := range [][]string{
		{"HTTP/1.1 200 OK", "Content-Length: 2"},
		{"HTTP/1.1 103 Early Hints", "Link: x"},
		{"HTTP/1.0 200", "a:"},
		{"HTTP/1.1 204 None", "Transfer-Encoding: chunked"},
		{"HTTP/1.1 200 OK", "Content-Length: 2", "content-length: 3"},
		{"HTTP/1.1 200 OK", "Transfer-Encoding : chunked", "Content-Length: 1"},
		{"HTTP/1.1 200 OK", "A: b", " c"},
	} {
		f.Add([]byte(head(lines...)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		status, err := CheckHead(text)
		if err != nil {
			if len(err.Error()) > 512 {
				t.Errorf("the error has %d bytes", len(err.Error()))
			}
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil || resp.StatusCode != status {
			t.Errorf("%q: status %d; net/http has %v, %v", text, status, resp, err)
		}
	})
}
