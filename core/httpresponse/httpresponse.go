// Package httpresponse decides whether the head of a response is valid HTTP/1.x (RFC 9110 and
// RFC 9112). Every client whose responses are passed on applies it.
//
// Load pattern: a server in trouble sends heads of arbitrary bytes, at the rate of its calls. What
// can be read in one way only is accepted, also where a sender should not have written it: a lone LF
// at the end of a line, several spaces in the status line, a length that is given twice. Everything
// else is refused, where the RFCs allow a recipient to repair it too: a repaired line may be the one
// that frames the body, so that the caller would get another body than the server sent.
package httpresponse

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// maxQuotedBytes bounds the bytes of a response that an error quotes.
const maxQuotedBytes = 64

// Error means that a response is malformed.
type Error struct {
	// Reason says what is wrong.
	Reason string
	// Text holds the first bytes of the invalid part.
	Text string
}

// Error returns the reason and the escaped text.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed response: %s: %s", e.Reason, strconv.QuoteToASCII(e.Text))
}

func malformed[T string | []byte](reason string, text T) error {
	return &Error{reason, string(text[:min(len(text), maxQuotedBytes)])}
}

// Unreadable returns the error for a response that a parser has refused.
func Unreadable(err error) error { return malformed("can't be parsed", err.Error()) }

// IsInformational reports whether another head follows the one with this status.
func IsInformational(status int) bool { return status < http.StatusOK }

// CheckHead checks the head of an informational or final response, from its status line to its empty
// line, and returns its status. The error is an *Error.
func CheckHead(head []byte) (status int, err error) {
	line, rest, err := cutLine(head)
	if err != nil {
		return 0, err
	}
	status, err = checkStatusLine(line)
	if err != nil {
		return 0, err
	}
	f := framing{bodiless: IsInformational(status) || status == http.StatusNoContent, oldVersion: bytes.HasPrefix(line, []byte("HTTP/1.0"))}
	for {
		if line, rest, err = cutLine(rest); err != nil {
			return 0, err
		}
		if len(line) == 0 {
			break
		}
		if err := f.addLine(line); err != nil {
			return 0, err
		}
	}
	return status, f.check()
}

// HeadLength returns the length of the head at the beginning of a text, 0 if it does not end there.
// It did not end within the first before bytes.
func HeadLength(text []byte, before int) int {
	for i := max(0, before-len("\n\r")); ; {
		n := bytes.IndexByte(text[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		switch rest := text[i:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + len("\r\n")
		}
	}
}

// cutLine returns the first line without its end, and the bytes after it.
func cutLine(text []byte) (line, rest []byte, err error) {
	line, rest, found := bytes.Cut(text, []byte("\n"))
	if !found {
		return nil, nil, malformed("unfinished line", text)
	}
	return bytes.TrimSuffix(line, []byte("\r")), rest, nil
}

// checkStatusLine returns the status of a valid status line.
func checkStatusLine(line []byte) (status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return 0, malformed("unknown version in status line", line)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, malformed("status is not three digits", line)
	}
	if !isFieldText(reason) {
		return 0, malformed("control byte in reason phrase", line)
	}
	status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	return status, checkStatus(status)
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isFieldText reports whether a text consists of the bytes that field values and reason phrases may
// have.
func isFieldText[T string | []byte](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// checkStatus checks a final or an informational status. RFC 9110, 15 lets a client treat a status
// outside of 100 to 599 as a server error.
func checkStatus(status int) error {
	if status == http.StatusSwitchingProtocols {
		return malformed("switch to a protocol that was not asked for", strconv.Itoa(status))
	}
	if status < 100 || status > 599 {
		return malformed("status is not in 100 to 599", fmt.Sprintf("%03d", status))
	}
	return nil
}

// CheckFinal checks what was decoded of the head of a final response. The error is an *Error.
func CheckFinal(status int, header http.Header) error {
	if IsInformational(status) {
		return malformed("no final status", fmt.Sprintf("%03d", status))
	}
	if err := checkStatus(status); err != nil {
		return err
	}
	return CheckFields(header)
}
