package fake

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamomwick.example/core/api"
)

// readStream returns a stream's text and whether it ended with the end marker.
func readStream(t *testing.T, method, url, body string) (text string, ended bool) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderRequestID, "r1")
	req.Header.Set(api.HeaderAttempt, "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for in := bufio.NewScanner(resp.Body); in.Scan(); {
		line := in.Text()
		if i := strings.Index(line, `"content":"`); i >= 0 {
			part := line[i+len(`"content":"`):]
			text += part[:strings.IndexByte(part, '"')]
		}
		ended = ended || line == "data: [DONE]"
	}
	return text, ended
}

// A complete answer, its resumed end and the continuation of a partial answer must all
// be parts of the same text: callers check answers against it.
func TestEngineContinuesAndResumes(t *testing.T) {
	e := NewEngine(EngineConfig{ID: "e", Slots: 2, StepBaseMicros: 200, PrefillTokensPerSecond: 100000, CachePrefixes: 8})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(ctx)
	server := httptest.NewServer(e)
	defer server.Close()
	prompt := `{"role":"user","content":"light"}`
	full, ended := readStream(t, "POST", server.URL+api.PathChat, `{"messages":[`+prompt+`],"metadata":{"output_tokens":12}}`)
	if CountTokens(full) != 12 || !ended {
		t.Fatalf("got answer %q, end marker %t; want 12 tokens and an end marker", full, ended)
	}
	rest, ended := readStream(t, "GET", server.URL+"/v1/streams/r1?attempt=1&offset=9", "")
	if !ended || !strings.HasSuffix(full, rest) || CountTokens(rest) != 3 {
		t.Fatalf("resumed at token 9: got %q, end marker %t; want the last 3 tokens of %q and an end marker", rest, ended, full)
	}
	partial := full[:strings.Index(full, ".5 ")+3]
	body := fmt.Sprintf(`{"messages":[%s,{"role":"assistant","content":%q}],"continue_final_message":true,"metadata":{"output_tokens":12}}`, prompt, partial)
	continuation, ended := readStream(t, "POST", server.URL+api.PathChat, body)
	if partial+continuation != full || !ended {
		t.Fatalf("continuation of %q is %q, end marker %t; want the rest of %q and an end marker", partial, continuation, ended, full)
	}
}
