package fleet

import "github.com/vmihailenco/msgpack/v5"

// The keys of an encoded Server, as in its tags.
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
	keyBorn        = "b"
	keyReclaimable = "r"
	// alwaysEncoded is how many of them are never left out.
	alwaysEncoded = 8
)

// EncodeMsgpack writes the server as its tags say. Listings have thousands of servers; to
// look each field up takes a leader the time in which it must hear of their heartbeats.
func (s Server) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := alwaysEncoded
	for _, there := range []bool{s.Name != "", s.Born != 0, s.Reclaimable} {
		if there {
			fields++
		}
	}
	w := writer{e: e}
	w.note(e.EncodeMapLen(fields))
	w.text(keyID, s.ID)
	w.text(keyPool, s.Pool)
	w.text(keyAddress, s.Address)
	w.text(keyZone, s.Zone)
	w.number(keySlots, int64(s.Slots))
	w.count(keyPhase, uint64(s.Phase))
	w.count(keySequence, s.Sequence)
	w.flag(keyOverdue, s.Overdue)
	if s.Name != "" {
		w.text(keyName, s.Name)
	}
	if s.Born != 0 {
		w.number(keyBorn, s.Born)
	}
	if s.Reclaimable {
		w.flag(keyReclaimable, true)
	}
	return w.err
}

// writer encodes fields until one fails.
type writer struct {
	e   *msgpack.Encoder
	err error
}

func (w *writer) note(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) text(key, v string) {
	w.note(w.e.EncodeString(key))
	w.note(w.e.EncodeString(v))
}

func (w *writer) number(key string, v int64) {
	w.note(w.e.EncodeString(key))
	w.note(w.e.EncodeInt(v))
}

func (w *writer) count(key string, v uint64) {
	w.note(w.e.EncodeString(key))
	w.note(w.e.EncodeUint(v))
}

func (w *writer) flag(key string, v bool) {
	w.note(w.e.EncodeString(key))
	w.note(w.e.EncodeBool(v))
}

// DecodeMsgpack reads what EncodeMsgpack writes, and passes over fields of later versions.
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
	case keyBorn:
		s.Born, err = d.DecodeInt64()
	case keyReclaimable:
		s.Reclaimable, err = d.DecodeBool()
	default:
		err = d.Skip()
	}
	return err
}
