// Package frame transports length-prefixed, authenticated msgpack messages over TCP between
// instances. A connection starts with a mutual challenge-response handshake under a shared
// key. Every frame then carries a MAC over its sequence number and content, so that frames
// can't be forged, replayed, reordered or moved to another connection.
package frame

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

// Limits of the protocol.
const (
	// MaxBytes is the size of the largest frame. Snapshots are sent in smaller chunks.
	MaxBytes     = 8 << 20
	macBytes     = 16
	bufferBytes  = 4 << 10
	nonceBytes   = 32
	maxNameBytes = 64
	// handshakeTimeout bounds the handshake of an incoming connection and of a link.
	handshakeTimeout = 3 * time.Second
)

// Errors of the protocol. Each of them closes the connection.
var (
	ErrTooLarge = eris.New("frame is larger than allowed")
	ErrMAC      = eris.New("frame authentication failed")
	ErrKey      = eris.New("peer uses an unknown key")
)

// Key is a shared secret with an identifier.
type Key struct {
	ID     string
	Secret []byte
}

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// OneWay has no response. One-way messages of a connection are handled in order.
	OneWay Kind = iota + 1
	Request
	Response
	// StreamPart is a message of a Stream.
	StreamPart
)

// Message is the content of a frame.
type Message struct {
	Kind   Kind               `msgpack:"k"`
	ID     uint64             `msgpack:"i,omitempty"`
	Method string             `msgpack:"m,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
	Error  string             `msgpack:"e,omitempty"`
}

// Conn is an authenticated connection. One goroutine may read while another
// writes.
type Conn struct {
	raw     net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	sendMAC hash.Hash
	recvMAC hash.Hash
	sendSeq uint64
	recvSeq uint64
	// limit is the maximum size of an incoming frame, small until the peer is authenticated.
	limit uint32
	// progress is the connection's progress in receiving.
	progress progress
	// PeerAddress is the address that the peer stated in the handshake, authenticated by
	// the shared key.
	PeerAddress string
}

// hello is the first message of the handshake, before any frame.
type hello struct {
	KeyID   string `msgpack:"k"`
	Nonce   []byte `msgpack:"n"`
	Address string `msgpack:"a"`
}

// Dial opens a connection and authenticates with the first key.
func Dial(address, self string, keys []Key, timeout time.Duration) (*Conn, error) {
	return dial(address, self, keys, timeout, handshakeTimeout)
}

func dial(address, self string, keys []Key, timeout, handshakeTimeout time.Duration) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer %s", address)
	}
	c, err := handshake(raw, self, keys, true, handshakeTimeout)
	if err != nil {
		raw.Close()
		return nil, eris.Wrapf(err, "handshake with peer %s", address)
	}
	return c, nil
}

// Accept performs the handshake on an incoming connection. The peer may use any of the keys.
func Accept(raw net.Conn, self string, keys []Key) (*Conn, error) {
	c, err := handshake(raw, self, keys, false, handshakeTimeout)
	if err != nil {
		raw.Close()
		return nil, eris.Wrapf(err, "handshake with %s", raw.RemoteAddr())
	}
	return c, nil
}

// handshake exchanges nonces and derives a key per direction. With the first frame, each
// side proves that it has the secret.
func handshake(raw net.Conn, self string, keys []Key, client bool, timeout time.Duration) (*Conn, error) {
	if err := raw.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	c := &Conn{raw: raw, w: bufio.NewWriterSize(writer{raw}, bufferBytes), limit: maxHelloBytes}
	c.r = bufio.NewReaderSize(&progressReader{raw, &c.progress}, bufferBytes)
	mine := hello{Nonce: make([]byte, nonceBytes), Address: self}
	if _, err := rand.Read(mine.Nonce); err != nil {
		return nil, err
	}
	var theirs hello
	var err error
	if client {
		mine.KeyID = keys[0].ID
		if err = c.writeHello(&mine); err == nil {
			theirs, err = c.readHello()
		}
	} else {
		if theirs, err = c.readHello(); err == nil {
			mine.KeyID = theirs.KeyID
			err = c.writeHello(&mine)
		}
	}
	if err != nil {
		return nil, err
	}
	secret, ok := findSecret(keys, theirs.KeyID)
	if !ok || theirs.KeyID != mine.KeyID {
		return nil, ErrKey
	}
	c.PeerAddress = theirs.Address
	c.deriveKeys(secret, &mine, &theirs, client)
	if err := c.exchangeProofs(); err != nil {
		return nil, err
	}
	c.limit = MaxBytes
	return c, raw.SetDeadline(time.Time{})
}

func findSecret(keys []Key, id string) ([]byte, bool) {
	for _, k := range keys {
		if k.ID == id {
			return k.Secret, true
		}
	}
	return nil, false
}

// deriveKeys derives the MAC keys of both directions from the secret and both hellos.
func (c *Conn) deriveKeys(secret []byte, mine, theirs *hello, client bool) {
	first, second := mine, theirs
	if !client {
		first, second = theirs, mine
	}
	derive := func(label string) hash.Hash {
		m := hmac.New(sha256.New, secret)
		m.Write([]byte(label))
		m.Write(first.Nonce)
		m.Write(second.Nonce)
		m.Write([]byte(first.Address + "\x00" + second.Address))
		return hmac.New(sha256.New, m.Sum(nil))
	}
	toServer, toClient := derive("client to server"), derive("server to client")
	c.sendMAC, c.recvMAC = toServer, toClient
	if !client {
		c.sendMAC, c.recvMAC = toClient, toServer
	}
}

// exchangeProofs sends an authenticated frame and reads that of the peer.
func (c *Conn) exchangeProofs() error {
	if err := c.Write(&Message{Kind: OneWay, Method: "hello"}); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	_, err := c.Read()
	return err
}

func (c *Conn) writeHello(h *hello) error {
	data, err := msgpack.Marshal(h)
	if err != nil {
		return err
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	if _, err := c.w.Write(size[:]); err != nil {
		return err
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return c.w.Flush()
}

const maxHelloBytes = 512

func (c *Conn) readHello() (hello, error) {
	var h hello
	var size [4]byte
	if _, err := io.ReadFull(c.r, size[:]); err != nil {
		return h, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxHelloBytes {
		return h, ErrTooLarge
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(c.r, data); err != nil {
		return h, err
	}
	if err := wire.Decode(data, &h); err != nil {
		return h, err
	}
	if len(h.Nonce) != nonceBytes || len(h.KeyID) > maxNameBytes || len(h.Address) > maxNameBytes {
		return h, eris.New("malformed hello")
	}
	return h, nil
}

func mac(h hash.Hash, seq uint64, data []byte) []byte {
	var s [8]byte
	binary.BigEndian.PutUint64(s[:], seq)
	h.Reset()
	h.Write(s[:])
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

// Write buffers one message; Flush sends it.
func (c *Conn) Write(m *Message) error {
	data, err := msgpack.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	if len(data) > MaxBytes {
		return ErrTooLarge
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	c.sendSeq++
	if _, err := c.w.Write(size[:]); err != nil {
		return err
	}
	if _, err := c.w.Write(mac(c.sendMAC, c.sendSeq, data)); err != nil {
		return err
	}
	_, err = c.w.Write(data)
	return err
}

// Flush sends the buffered messages.
func (c *Conn) Flush() error { return c.w.Flush() }

// Read returns the next message.
func (c *Conn) Read() (*Message, error) {
	var head [4 + macBytes]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n > c.limit {
		return nil, ErrTooLarge
	}
	data := make([]byte, n)
	c.progress.startFrame()
	if _, err := io.ReadFull(c.r, data); err != nil {
		return nil, err
	}
	c.progress.endFrame()
	c.recvSeq++
	if !hmac.Equal(head[4:], mac(c.recvMAC, c.recvSeq, data)) {
		return nil, ErrMAC
	}
	var m Message
	if err := wire.Decode(data, &m); err != nil {
		return nil, eris.Wrap(err, "decode frame")
	}
	return &m, nil
}

// Close ends the connection.
func (c *Conn) Close() error { return c.raw.Close() }
