package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/core/wire"
)

// Sizes of records.
const (
	headerBytes    = 8
	maxRecordBytes = 64 << 20
	// maxScanBytes bounds the search for a record after one whose length is not known. What may
	// be torn before a valid record are commit indexes of half a second.
	maxScanBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one entry of the write-ahead log.
type record struct {
	State   *raft.HardState `msgpack:"s,omitempty"`
	Entries []raft.Entry    `msgpack:"e,omitempty"`
	// FollowsUnsynced is set if the record before, a commit index alone, was not synced when
	// this one was written.
	FollowsUnsynced bool `msgpack:"u,omitempty"`
	// Checkpoint is set if State and Entries are everything after the snapshot at index Snapshot.
	Checkpoint bool   `msgpack:"k,omitempty"`
	Snapshot   uint64 `msgpack:"b,omitempty"`
}

// encodeRecord returns a record: length and CRC-32C checksum of the body, then the body.
func encodeRecord(body []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(out[:4], uint32(len(body)))
	binary.BigEndian.PutUint32(out[4:8], crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// Reasons why a record is invalid.
var (
	errTorn     = errors.New("torn record")
	errChecksum = errors.New("wrong checksum")
	// errUnknownRecord is damage: what has the right checksum was written whole.
	errUnknownRecord = errors.New("a whole record can't be decoded")
)

// parseRecord returns the body of the first record of data, and the length of the record, which
// is 0 if it is not known.
func parseRecord(data []byte) (body []byte, n int, err error) {
	if len(data) < headerBytes {
		return nil, 0, errTorn
	}
	size := binary.BigEndian.Uint32(data[:4])
	if size == 0 || size > maxRecordBytes || len(data) < headerBytes+int(size) {
		return nil, 0, errTorn
	}
	n = headerBytes + int(size)
	body = data[headerBytes:n]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:8]) {
		return nil, n, errChecksum
	}
	return body, n, nil
}

// decodeRecord decodes the first record of data; n is its length as for parseRecord.
func decodeRecord(data []byte) (r record, n int, err error) {
	body, n, err := parseRecord(data)
	if err != nil {
		return r, n, err
	}
	if err := wire.Decode(body, &r); err != nil {
		return r, n, errUnknownRecord
	}
	return r, n, nil
}

// foundRecord is a valid record after an invalid one.
type foundRecord struct {
	record
	// offset is the distance from the invalid record.
	offset int
}

// nextRecord returns the first valid record after an invalid one at the beginning of data, whose
// length is n, or 0 if that is not known.
func nextRecord(data []byte, n int) (found foundRecord, ok bool) {
	if n > 0 && n < len(data) {
		if r, _, err := decodeRecord(data[n:]); err == nil {
			return foundRecord{r, n}, true
		}
	}
	for offset := 1; offset < min(len(data), maxScanBytes); offset++ {
		if r, _, err := decodeRecord(data[offset:]); err == nil {
			return foundRecord{r, offset}, true
		}
	}
	return foundRecord{}, false
}
