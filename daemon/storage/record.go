package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/wire"
)

// record is one entry of the write-ahead log.
type record struct {
	State   *raft.HardState `msgpack:"s,omitempty"`
	Entries []raft.Entry    `msgpack:"e,omitempty"`
	// FollowsUnsynced is set if the record before, a commit index alone, was not synced when
	// this one was written.
	FollowsUnsynced bool `msgpack:"u,omitempty"`
}

// encodeRecord returns a record: length and CRC-32C checksum of the body, then the body.
func encodeRecord(body []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(out[:4], uint32(len(body)))
	binary.BigEndian.PutUint32(out[4:8], crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// errTorn means that the data ends within a record.
var errTorn = errors.New("torn record")

// parseRecord returns the body of the first record of data, and the length of the record.
func parseRecord(data []byte) (body []byte, n int, err error) {
	if len(data) < headerBytes {
		return nil, 0, errTorn
	}
	size := binary.BigEndian.Uint32(data[:4])
	if size > maxRecordBytes {
		return nil, 0, ErrCorrupt
	}
	n = headerBytes + int(size)
	if size == 0 || len(data) < n {
		return nil, 0, errTorn
	}
	body = data[headerBytes:n]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:8]) {
		return nil, n, ErrCorrupt
	}
	return body, n, nil
}

// recordAfter returns the valid record that follows an invalid one of n bytes, if there is one. Each
// record but a commit index alone is synced before the next one is written, so that a write torn by
// a power loss is never followed by another record, whatever it left on the disk.
func recordAfter(rest []byte, n int) (r record, follows bool) {
	if n <= headerBytes || n >= len(rest) {
		return record{}, false
	}
	body, _, err := parseRecord(rest[n:])
	if err != nil || len(body) == 0 {
		return record{}, false
	}
	// A record with a valid checksum that can't be decoded is damage too.
	if err := wire.Decode(body, &r); err != nil {
		return record{}, true
	}
	return r, true
}
