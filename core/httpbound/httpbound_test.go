package httpbound

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomwick.example/core/httpresponse"
)

// get makes a request to a server that sends the parts, some time apart, and closes the connection.
func get(t *testing.T, client *http.Client, parts ...string) (status int, body string, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	resp, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// split returns the text in parts of n bytes.
func split(text string, n int) (parts []string) {
	for len(text) > n {
		parts, text = append(parts, text[:n]), text[n:]
	}
	return append(parts, text)
}

func newClient() *http.Client {
	return &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true}), Timeout: 5 * time.Second}
}

// Guards against invalid heads that net/http's client accepts, however they arrive.
func TestInvalidHeadsAreRefused(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, text := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 099 X\r\n\r\n",
		"HTTP/1.1 099 X\n\n",
		"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + valid,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 999 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + valid,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + valid,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	} {
		for _, n := range []int{1, 2, 3, 7, len(text)} {
			status, body, err := get(t, newClient(), split(text, n)...)
			var malformed *httpresponse.Error
			if !errors.As(err, &malformed) {
				t.Errorf("%q in parts of %d bytes: %d %q, %v", text, n, status, body, err)
			}
		}
	}
}

// Guards against bodies that are taken for heads, and against unusual answers that are refused.
func TestValidResponsesAreAccepted(t *testing.T) {
	const inBody = "HTTP/1.1 000 X\r\n\r\n\n\n"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n" + inBody,
		"HTTP/1.1 200\n\n" + inBody,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nLink: x\r\n\r\nHTTP/1.0 200 OK\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n" + inBody,
	} {
		for _, n := range []int{19, 1000, len(text)} {
			if status, body, err := get(t, newClient(), split(text, n)...); err != nil || status != http.StatusOK || body != inBody {
				t.Errorf("%.60q in parts of %d bytes: %d %q, %v", text, n, status, body, err)
			}
		}
	}
}

// Guards against a check that ends with the first response of a connection.
func TestEachResponseOfAConnectionIsChecked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		requests := bufio.NewReader(c)
		for _, status := range []string{"200", "200", "000"} {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			if _, err := io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}()
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	for n := range 3 {
		resp, err := client.Post("http://"+l.Addr().String(), "text/plain", nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if failed := err != nil; failed != (n == 2) {
			t.Errorf("response %d: %v", n, err)
		}
	}
}

// Guards against heads that net/http's own bound allows.
func TestLongHeadsAreRefused(t *testing.T) {
	line := "X: " + strings.Repeat("x", 1000) + "\r\n"
	if status, _, err := get(t, newClient(), "HTTP/1.1 200 OK\r\n"+strings.Repeat(line, 100)+"\r\n"); err == nil {
		t.Errorf("a head of 100 KB is accepted with status %d", status)
	}
}
