package httpresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// CheckFields checks decoded fields of a head or a trailer. The error is an *Error.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !isToken(name) {
			return malformed("invalid field name", name)
		}
		for _, v := range values {
			if !isFieldText(v) {
				return malformed("control byte in field value", name+": "+v)
			}
		}
	}
	return nil
}

// cutField returns the name and the value of a field line. RFC 9112, 5.1 and 5.2 let a recipient remove
// a blank before the colon and join a line that begins with a blank to the one before.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return nil, nil, malformed("field line begins with a blank", line)
	case !found:
		return nil, nil, malformed("field line without a colon", line)
	case !isToken(name):
		return nil, nil, malformed("invalid field name", line)
	case !isFieldText(value):
		return nil, nil, malformed("control byte in field value", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isToken reports whether a text is a token (RFC 9110, 5.6.2), as names of fields must be.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		c := text[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// framing is what the fields of a head say about the length of the body.
type framing struct {
	// bodiless is set if the status allows no body and, other than 304, no field about its length.
	// oldVersion is set for HTTP/1.0, which has no transfer codings.
	bodiless, oldVersion bool
	// codings and length are the values of Transfer-Encoding and Content-Length, nil for none.
	codings, length []byte
}

// addLine checks a field line and takes its part of the framing.
func (f *framing) addLine(line []byte) error {
	name, value, err := cutField(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.codings != nil || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("unknown transfer coding", line)
		}
		f.codings = value
	case bytes.EqualFold(name, []byte("Content-Length")):
		if n, err := strconv.ParseUint(string(value), 10, 63); err != nil {
			return malformed("invalid length", line)
		} else if f.length != nil && !bytes.Equal(value, f.length) {
			return malformed("two lengths", line)
		} else if f.bodiless && n > 0 {
			return malformed("length after a status without a body", line)
		}
		f.length = value
	}
	return nil
}

// check returns an error if the head does not say in one way how long the body is. RFC 9112, 6.3 lets
// a recipient prefer the transfer coding to a length.
func (f *framing) check() error {
	switch {
	case f.codings == nil:
		return nil
	case f.length != nil:
		return malformed("both a length and a transfer coding", f.length)
	case f.oldVersion:
		return malformed("transfer coding in HTTP/1.0", f.codings)
	case f.bodiless:
		return malformed("transfer coding after a status without a body", f.codings)
	}
	return nil
}
