package counts

// maxServers bounds the servers of one stream against a faulty sender: twice the servers of
// the largest supported deployment.
const maxServers = 8192

// Receiver is the receiving end of the streams from one sender. The zero value is ready for
// use. Not safe for concurrent use.
type Receiver struct {
	position Position
	ids      []string
	rows     []Row
}

// Update is the result of applying a message.
type Update struct {
	// NewStream is set when the message began a stream, which invalidates all earlier rows.
	NewStream bool
	// ChangedRows are the numbers of the rows that the message holds; see Server.
	ChangedRows []int
	Uses        []Use
	Limits      []Limit
	// Boundaries is nil when the message holds none.
	Boundaries []Boundary
}

// Position returns the position reached, for acknowledgement to the sender.
func (r *Receiver) Position() Position { return r.position }

// Servers returns the number of servers in the stream.
func (r *Receiver) Servers() int { return len(r.ids) }

// Server returns the ID and the counts of a server by its number in the stream.
func (r *Receiver) Server(number int) (id string, row Row) { return r.ids[number], r.rows[number] }

// Apply applies a message. ok is false for a duplicate, a message that does not continue
// the stream and a malformed one; the update then holds at most NewStream. After the latter
// two the receiver waits for a new stream.
func (r *Receiver) Apply(m *Message) (u Update, ok bool) {
	switch {
	case m.Position.Sequence == 1 && (m.Position.Stream != r.position.Stream || r.position.Sequence == 0):
		*r = Receiver{position: Position{Stream: m.Position.Stream}}
		u.NewStream = true
	case m.Position.Stream == r.position.Stream && m.Position.Sequence <= r.position.Sequence:
		return u, false
	case m.Position.Stream != r.position.Stream || m.Position.Sequence != r.position.Sequence+1 || r.position.Lost:
		r.markLost(m.Position)
		return u, false
	}
	if !r.addServers(m.NewServers) || !r.applyRows(m.Rows, &u) || !r.applyUses(m.Uses, &u) || !r.applyLimits(m.Limits, &u) || !r.applyBoundaries(m.Boundaries, &u) {
		r.markLost(m.Position)
		return Update{NewStream: u.NewStream}, false
	}
	r.position.Sequence = m.Position.Sequence
	return u, true
}

// markLost waits for a new stream. The rows received so far stay valid until then.
func (r *Receiver) markLost(at Position) {
	r.position = Position{Stream: at.Stream, Sequence: at.Sequence, Lost: true}
}

func (r *Receiver) addServers(names []string) bool {
	if len(r.ids)+len(names) > maxServers {
		return false
	}
	r.ids = append(r.ids, names...)
	r.rows = append(r.rows, make([]Row, len(names))...)
	return true
}

func (r *Receiver) applyRows(data []byte, u *Update) bool {
	d := decoder{data: data}
	for len(d.data) > 0 {
		number, row, withInterval := d.row()
		if d.failed || int(number) >= len(r.rows) {
			return false
		}
		if !withInterval {
			row.EventInterval = r.rows[number].EventInterval
		}
		r.rows[number] = row
		u.ChangedRows = append(u.ChangedRows, int(number))
	}
	return !d.failed
}

func (r *Receiver) applyUses(data []byte, u *Update) bool {
	d := decoder{data: data}
	for len(d.data) > 0 {
		number, prefix := d.use()
		if d.failed || int(number) >= len(r.ids) {
			return false
		}
		u.Uses = append(u.Uses, Use{r.ids[number], prefix})
	}
	return !d.failed
}

func (r *Receiver) applyLimits(data []byte, u *Update) bool {
	d := decoder{data: data}
	for len(d.data) > 0 {
		number, limit, age := d.limit()
		if d.failed || int(number) >= len(r.ids) {
			return false
		}
		u.Limits = append(u.Limits, Limit{r.ids[number], limit, age})
	}
	return !d.failed
}

func (r *Receiver) applyBoundaries(list []wireBoundary, u *Update) bool {
	for _, w := range list {
		b := Boundary{Pool: w.Pool, Share: w.Share}
		for _, number := range w.Engines {
			if int(number) >= len(r.ids) {
				return false
			}
			b.Engines = append(b.Engines, r.ids[number])
		}
		u.Boundaries = append(u.Boundaries, b)
	}
	return true
}
