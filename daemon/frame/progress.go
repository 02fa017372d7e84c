package frame

import (
	"net"
	"sync"
	"time"
)

// progress tracks whether a frame is being received. A frame of hundreds of KB takes seconds on
// a slow link that many connections share. Without this it would be taken for a lost connection
// or a late response, and be requested and sent again, so that none ever arrived. Safe for
// concurrent use; the zero value has received nothing.
type progress struct {
	mu      sync.Mutex
	inFrame bool
	// at is when bytes last arrived.
	at time.Time
	// onBytes is called when bytes of a started frame arrive; nil for nothing.
	onBytes func()
}

func (p *progress) startFrame() { p.setInFrame(true) }
func (p *progress) endFrame()   { p.setInFrame(false) }

func (p *progress) setInFrame(in bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFrame = in
	p.at = time.Now()
}

// record records that bytes arrived.
func (p *progress) record() {
	p.mu.Lock()
	p.at = time.Now()
	f := p.onBytes
	if !p.inFrame {
		f = nil
	}
	p.mu.Unlock()
	if f != nil {
		f()
	}
}

// receiving reports whether a frame has begun to arrive and its last bytes are at most maxAge
// old.
func (p *progress) receiving(maxAge time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFrame && time.Since(p.at) <= maxAge
}

// progressReader records the progress of reads.
type progressReader struct {
	raw      net.Conn
	progress *progress
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.raw.Read(p)
	if n > 0 {
		r.progress.record()
	}
	return n, err
}

// maxWriteBytes bounds one write, so that the timeout of a write does not depend on the size of
// the message.
const maxWriteBytes = 16 << 10

// writer writes to a connection; each maxWriteBytes may take writeTimeout.
type writer struct{ raw net.Conn }

// Write implements io.Writer.
func (w writer) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+maxWriteBytes)]
		if err := w.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := w.raw.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
