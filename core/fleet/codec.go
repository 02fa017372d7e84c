package fleet

import "github.com/vmihailenco/msgpack/v5"

// Keys of an encoded Server; they match its struct tags.
const (
	keyID          = "i"
	keyPool        = "p"
	keyAddress     = "a"
	keyZone        = "z"
	keySlots       = "s"
	keyPhase       = "h"
	keySequence    = "q"
	keyOverdue     = "o"
	keyName        = "n"
	keyStartedAt   = "b"
	keyReclaimable = "r"
	keySoftware    = "v"
	// requiredFields is the number of keys that are always encoded.
	requiredFields = 8
)

// EncodeMsgpack encodes the server as its struct tags describe. Listings hold thousands of
// servers, and encoding them by reflection takes the leader so long that it processes
// heartbeats late.
func (s Server) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := requiredFields
	for _, present := range []bool{s.Name != "", s.StartedAt != 0, s.Reclaimable, s.Software != ""} {
		if present {
			fields++
		}
	}
	w := writer{e: e}
	w.check(e.EncodeMapLen(fields))
	w.writeString(keyID, s.ID)
	w.writeString(keyPool, s.Pool)
	w.writeString(keyAddress, s.Address)
	w.writeString(keyZone, s.Zone)
	w.writeInt(keySlots, int64(s.Slots))
	w.writeUint(keyPhase, uint64(s.Phase))
	w.writeUint(keySequence, s.Sequence)
	w.writeBool(keyOverdue, s.Overdue)
	if s.Name != "" {
		w.writeString(keyName, s.Name)
	}
	if s.StartedAt != 0 {
		w.writeInt(keyStartedAt, s.StartedAt)
	}
	if s.Reclaimable {
		w.writeBool(keyReclaimable, true)
	}
	if s.Software != "" {
		w.writeString(keySoftware, string(s.Software))
	}
	return w.err
}

// writer encodes fields until one fails, and keeps that error.
type writer struct {
	e   *msgpack.Encoder
	err error
}

func (w *writer) check(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) writeString(key, v string) {
	w.check(w.e.EncodeString(key))
	w.check(w.e.EncodeString(v))
}

func (w *writer) writeInt(key string, v int64) {
	w.check(w.e.EncodeString(key))
	w.check(w.e.EncodeInt(v))
}

func (w *writer) writeUint(key string, v uint64) {
	w.check(w.e.EncodeString(key))
	w.check(w.e.EncodeUint(v))
}

func (w *writer) writeBool(key string, v bool) {
	w.check(w.e.EncodeString(key))
	w.check(w.e.EncodeBool(v))
}

// DecodeMsgpack reads the output of EncodeMsgpack and skips fields of later versions.
func (s *Server) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = Server{}
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return err
		}
		if err := s.decodeField(d, key); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) decodeField(d *msgpack.Decoder, key string) (err error) {
	switch key {
	case keyID:
		s.ID, err = d.DecodeString()
	case keyPool:
		s.Pool, err = d.DecodeString()
	case keyAddress:
		s.Address, err = d.DecodeString()
	case keyZone:
		s.Zone, err = d.DecodeString()
	case keySlots:
		s.Slots, err = d.DecodeInt()
	case keyPhase:
		var phase uint8
		phase, err = d.DecodeUint8()
		s.Phase = Phase(phase)
	case keySequence:
		s.Sequence, err = d.DecodeUint64()
	case keyOverdue:
		s.Overdue, err = d.DecodeBool()
	case keyName:
		s.Name, err = d.DecodeString()
	case keyStartedAt:
		s.StartedAt, err = d.DecodeInt64()
	case keyReclaimable:
		s.Reclaimable, err = d.DecodeBool()
	case keySoftware:
		var version string
		version, err = d.DecodeString()
		s.Software = SoftwareVersion(version)
	default:
		err = d.Skip()
	}
	return err
}
