// Package wire decodes what instances send each other and keep on disk.
//
// The codec allocates a list as long as its header says before it reads the first
// element: a message of 72 bytes that claims two billion members ended the process
// for want of memory. Decode looks over a message first and refuses one that claims
// more elements than it has bytes.
package wire

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed: the bytes are no whole message, or claim more than they hold.
var ErrMalformed = errors.New("malformed message")

// Decode reads a message into v.
func Decode(data []byte, v any) error {
	if err := check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// check walks over one value. Each element takes a byte at least, so that no more
// elements may be pending than bytes are left.
func check(data []byte) error {
	for pending := uint64(1); pending > 0; pending-- {
		if len(data) == 0 {
			return ErrMalformed
		}
		size, elements, ok := header(data)
		if !ok || size > uint64(len(data)) {
			return ErrMalformed
		}
		data = data[size:]
		if elements > uint64(len(data)) || pending-1+elements > uint64(len(data)) {
			return ErrMalformed
		}
		pending += elements
	}
	return nil
}

// Codes of the MessagePack format, the first of each range.
const (
	fixMap, fixArray, fixString = 0x80, 0x90, 0xa0
	codeNil, codeNever          = 0xc0, 0xc1
	codeBin8, codeExt8          = 0xc4, 0xc7
	codeFloat32, codeFloat64    = 0xca, 0xcb
	codeUint8, codeInt8         = 0xcc, 0xd0
	codeFixExt1, codeString8    = 0xd4, 0xd9
	codeArray16, codeMap16      = 0xdc, 0xde
	negativeFixInt              = 0xe0
)

// header returns how many bytes a value takes without its elements, and how many
// elements follow.
func header(data []byte) (size, elements uint64, ok bool) {
	code := data[0]
	switch {
	case code < fixMap || code >= negativeFixInt:
		return 1, 0, true
	case code < fixArray:
		return 1, 2 * uint64(code-fixMap), true
	case code < fixString:
		return 1, uint64(code - fixArray), true
	case code < codeNil:
		return 1 + uint64(code-fixString), 0, true
	case code == codeNever:
		return 0, 0, false
	case code < codeBin8:
		return 1, 0, true
	case code < codeExt8:
		return sized(data, code-codeBin8, 0)
	case code < codeFloat32:
		return sized(data, code-codeExt8, 1)
	case code < codeUint8:
		return 1 + 4<<(code-codeFloat32), 0, true
	case code < codeInt8:
		return 1 + 1<<(code-codeUint8), 0, true
	case code < codeFixExt1:
		return 1 + 1<<(code-codeInt8), 0, true
	case code < codeString8:
		return 2 + 1<<(code-codeFixExt1), 0, true
	case code < codeArray16:
		return sized(data, code-codeString8, 0)
	case code < codeMap16:
		return listed(data, code-codeArray16+1, 1)
	}
	return listed(data, code-codeMap16+1, 2)
}

// sized is a value whose length in bytes stands in 1, 2 or 4 bytes, for a width of
// 0, 1 or 2, with so many bytes more.
func sized(data []byte, width byte, more uint64) (size, elements uint64, ok bool) {
	length, ok := number(data[1:], width)
	return 1 + 1<<width + more + length, 0, ok
}

// listed is a list, or a map with two elements an entry.
func listed(data []byte, width byte, each uint64) (size, elements uint64, ok bool) {
	length, ok := number(data[1:], width)
	return 1 + 1<<width, each * length, ok
}

// number reads a number of 1, 2 or 4 bytes.
func number(data []byte, width byte) (uint64, bool) {
	switch {
	case len(data) < 1<<width:
		return 0, false
	case width == 0:
		return uint64(data[0]), true
	case width == 1:
		return uint64(binary.BigEndian.Uint16(data)), true
	}
	return uint64(binary.BigEndian.Uint32(data)), true
}
