package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const identityFile = "identity"

// Identity identifies a replica and the group that it belongs to.
type Identity struct {
	// ID is a random number from the creation of the folder. A replica that restarts with
	// an empty disk has another one, and does not count as the former member.
	ID uint64 `msgpack:"i"`
	// Group is 0 until the replica has joined a group.
	Group uint64 `msgpack:"g"`
}

// Identity returns the replica's identity.
func (s *Store) Identity() Identity { return s.identity }

func (s *Store) loadIdentity() error {
	err := s.readRecord(identityFile, &s.identity)
	if errors.Is(err, os.ErrNotExist) {
		return s.createIdentity()
	}
	return err
}

// createIdentity writes a new identity. It refuses a folder that has a log, whose identity
// file must have been lost.
func (s *Store) createIdentity() error {
	segments, err := s.segments()
	if err != nil {
		return err
	}
	if len(segments) > 0 {
		return eris.Wrap(ErrCorrupt, "identity file is missing")
	}
	id, err := s.newID()
	if err != nil {
		return err
	}
	return s.writeIdentity(Identity{ID: id})
}

// randomID returns an ID that no other replica has, and that is not 0.
func randomID() (uint64, error) {
	var raw [8]byte
	_, err := rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) | 1, eris.Wrap(err, "generate identity")
}

func (s *Store) writeIdentity(id Identity) error {
	data, err := msgpack.Marshal(&id)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	if err := s.replaceFile(identityFile, encodeRecord(data)); err != nil {
		return eris.Wrap(err, "write identity")
	}
	s.identity = id
	return nil
}
