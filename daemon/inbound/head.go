package inbound

import "bytes"

const (
	// A head costs its buffer and its strings, and each line an entry in the header map and in the
	// copy that is forwarded.
	headByteCost, headLineCost = 2, 256
	// headAllowance is the part of a head's cost that is part of connectionBytes.
	headAllowance = 8 << 10
	// headStep is the unit in which more memory is taken for a head.
	headStep = 8 << 10
)

// head counts the bytes and lines of a request's head as they arrive.
type head struct {
	bytes, lines int
	// lineBytes counts the bytes of the current line without line breaks.
	lineBytes int
	// begun is set after the first line that is not empty, and complete after the empty line that ends
	// the head.
	begun, complete bool
	// taken is the memory taken for the head beyond headAllowance.
	taken int64
}

// add counts received bytes up to the end of the head.
func (h *head) add(p []byte) {
	for len(p) > 0 && !h.complete {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.lineBytes += lineLength(p)
			return
		}
		h.bytes += end + 1
		h.lines++
		if h.lineBytes+lineLength(p[:end]) > 0 {
			h.begun = true
		} else if h.begun {
			h.complete = true
		}
		h.lineBytes = 0
		p = p[end+1:]
	}
}

// lineLength returns the length of a part of a line, 0 if that is only the first half of a line break.
func lineLength(p []byte) int {
	if len(p) == 1 && p[0] == '\r' {
		return 0
	}
	return len(p)
}

// missing returns the memory that must still be taken for the head.
func (h *head) missing() int64 {
	cost := int64(headByteCost*h.bytes + headLineCost*h.lines)
	missing := cost - headAllowance - h.taken
	if missing <= 0 {
		return 0
	}
	return (missing + headStep - 1) / headStep * headStep
}
