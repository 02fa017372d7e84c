// Package wire decodes the MessagePack data that instances exchange and store.
//
// The codec allocates a list at the length given in its header before it reads the first
// element: a message of 72 bytes that claimed two billion members ended the process for
// lack of memory. Decode validates a message first and rejects one that claims more
// elements than it has bytes.
package wire

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for data that is not a complete message, or claims more elements
// than it holds.
var ErrMalformed = errors.New("malformed message")

// Decode validates a message and decodes it into v.
func Decode(data []byte, v any) error {
	if err := validate(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// validate walks over one value. Each element takes at least one byte, so that no more
// elements may be pending than bytes are left.
func validate(data []byte) error {
	for pending := uint64(1); pending > 0; pending-- {
		if len(data) == 0 {
			return ErrMalformed
		}
		size, elements, ok := readHeader(data)
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

// Type codes of the MessagePack format, the first of each range.
const (
	fixMap, fixArray, fixString = 0x80, 0x90, 0xa0
	codeNil, codeUnused         = 0xc0, 0xc1
	codeBin8, codeExt8          = 0xc4, 0xc7
	codeFloat32, codeFloat64    = 0xca, 0xcb
	codeUint8, codeInt8         = 0xcc, 0xd0
	codeFixExt1, codeString8    = 0xd4, 0xd9
	codeArray16, codeMap16      = 0xdc, 0xde
	negativeFixInt              = 0xe0
)

// readHeader returns the size of a value in bytes without its elements, and the number of
// elements that follow.
func readHeader(data []byte) (size, elements uint64, ok bool) {
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
	case code == codeUnused:
		return 0, 0, false
	case code < codeBin8:
		return 1, 0, true
	case code < codeExt8:
		return readSized(data, code-codeBin8, 0)
	case code < codeFloat32:
		return readSized(data, code-codeExt8, 1)
	case code < codeUint8:
		return 1 + 4<<(code-codeFloat32), 0, true
	case code < codeInt8:
		return 1 + 1<<(code-codeUint8), 0, true
	case code < codeFixExt1:
		return 1 + 1<<(code-codeInt8), 0, true
	case code < codeString8:
		return 2 + 1<<(code-codeFixExt1), 0, true
	case code < codeArray16:
		return readSized(data, code-codeString8, 0)
	case code < codeMap16:
		return readCollection(data, code-codeArray16+1, 1)
	}
	return readCollection(data, code-codeMap16+1, 2)
}

// readSized reads the header of a value whose length in bytes is stored in 1, 2 or 4 bytes,
// for a width of 0, 1 or 2; extra is the number of further bytes in the header.
func readSized(data []byte, width byte, extra uint64) (size, elements uint64, ok bool) {
	length, ok := readLength(data[1:], width)
	return 1 + 1<<width + extra + length, 0, ok
}

// readCollection reads the header of a list, or of a map with perEntry = 2.
func readCollection(data []byte, width byte, perEntry uint64) (size, elements uint64, ok bool) {
	length, ok := readLength(data[1:], width)
	return 1 + 1<<width, perEntry * length, ok
}

// readLength reads a length of 1, 2 or 4 bytes, for a width of 0, 1 or 2.
func readLength(data []byte, width byte) (uint64, bool) {
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
