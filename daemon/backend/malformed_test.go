package backend

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"cardamomwick.example/core/httpresponse"
	"cardamomwick.example/core/retry"
)

// expectMalformed expects an answer to fail its call like a connection that breaks.
func expectMalformed(t *testing.T, answer string) {
	t.Helper()
	ConfigureTransport()
	target := cutServer(t, answer)
	_, callErr := Call(context.Background(), target, http.MethodPost, "/x", "", "", []byte("body"))
	_, openErr := Open(context.Background(), target, []byte("{}"))
	_, resumeErr := Resume(context.Background(), target, 1)
	for step, err := range map[string]error{"call": callErr, "open": openErr, "resume": resumeErr} {
		var failed *CallError
		var malformed *httpresponse.Error
		if !errors.As(err, &failed) || failed.Failure != retry.FailureUncertain || failed.Status != 0 || !errors.As(err, &malformed) {
			t.Errorf("%s: %q gives the error %v", step, answer, err)
		}
	}
}

// Guards against an answer with an invalid status that is passed on, or skipped for the bytes that
// follow it.
func TestAnswerWithInvalidStatusIsAnError(t *testing.T) {
	const head, followed = " X\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "020", "099", "101", "600", "999"} {
		expectMalformed(t, "HTTP/1.1 "+status+head+"ok")
		expectMalformed(t, "HTTP/1.1 "+status+head+followed)
		expectMalformed(t, "HTTP/1.1 "+status+" X\r\n\r\n"+followed)
		expectMalformed(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+head+"ok")
	}
}

// Guards against an answer without a field, or with another body than the server sent, since a line of
// its head is not understood.
func TestAnswerWithInvalidFieldIsAnError(t *testing.T) {
	const begin, followed = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, answer := range []string{
		begin + "X Y: z\r\nContent-Length: 2\r\n\r\nok",
		begin + "X\x00: z\r\nContent-Length: 2\r\n\r\nok",
		begin + "X: a\x01\r\nContent-Length: 2\r\n\r\nok",
		begin + "Content-Length : 1\r\n\r\nok",
		begin + "X: a\r\n Content-Length: 1\r\n\r\nok",
		begin + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		begin + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 X\r\nX Y: z\r\n\r\n" + followed,
		"HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\n" + followed,
	} {
		expectMalformed(t, answer)
	}
}

// Guards against an answer that is complete without its trailer being valid.
func TestAnswerWithInvalidTrailerIsAnError(t *testing.T) {
	ConfigureTransport()
	target := cutServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n")
	if a, err := Call(context.Background(), target, http.MethodPost, "/x", "", "", []byte("body")); err == nil {
		t.Errorf("the answer is %v", a)
	}
}
