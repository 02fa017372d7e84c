package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/core/routing"
	records "cardamomwick.example/daemon/resumption"
)

// Who resumes an interrupted stream.
const (
	byCaller     = "caller"
	withinAnswer = "answer"
)

// recordMargin is how much longer than its caller waits a stream's record is kept.
const recordMargin = 5 * time.Second

// continues reports whether the caller has the first events of the stream already: from an earlier
// call, or from a peer that has passed the call on.
func (c *call) continues() bool { return c.info.LastEventID != "" }

// firstCall returns the ID of the call that brought the stream's first event.
func (c *call) firstCall() string {
	if c.resumes {
		return c.info.FirstCallID
	}
	return c.info.ID
}

// customerName returns the name of the call's customer, "" on public routes.
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// streamKey returns the key of the stream's record.
func (c *call) streamKey() resumption.Key {
	return resumption.NewKey(c.customerName(), c.firstCall())
}

// bindTo fixes where the stream began, and records it. Call it before the first event is
// forwarded.
func (c *call) bindTo(s fleet.Server) {
	if c.origin.Load() != nil {
		return
	}
	o := resumption.OriginAt(&s)
	c.origin.Store(&o)
	if s.StartedAt > 0 {
		c.originStart, c.originSince = s.Start(), c.attemptStart
	}
	if !c.route.Resumable || !o.Software.Known() || c.info.ID == "" {
		return
	}
	r := c.record(o)
	if s.StartedAt > 0 {
		r.Start = s.Start()
	}
	c.keepRecord(r)
}

// keepRecord keeps a record at its owners until the call's stream has ended here.
func (c *call) keepRecord(r resumption.Record) {
	c.endRecord()
	if c.router.opt.Records != nil {
		c.recordEnded = c.router.opt.Records.Record(r)
	}
}

// record returns the record of the call's stream.
func (c *call) record(o resumption.Origin) resumption.Record {
	waits := max(c.info.Timeout, c.route.Timeout) - time.Since(c.arrived)
	return resumption.Record{Key: c.streamKey(), Origin: o, Lifetime: waits + recordMargin}
}

// checkOrigin makes the stream's origin unknown if the server that has sent its latest events has
// started again with other software: the events may be from either start.
func (c *call) checkOrigin(start fleet.Start) {
	o := c.origin.Load()
	if o == nil || !c.router.changedSoftware(start, o) {
		return
	}
	c.logEntry().WithFields(log.Fields{"server": start.Name, "software": o.Software}).Warn("server has started again with other software; it is not known which of its starts sent the stream")
	c.origin.Store(&resumption.Origin{Pool: o.Pool})
	r := c.record(*o)
	r.Ambiguous = true
	c.keepRecord(r)
}

// Causes for which an answer does not continue a stream.
var (
	// errOtherStart: a newer start of a server has answered in place of the one that the call
	// was sent to.
	errOtherStart = errors.New("another start of the server answered")
	// errUnknownStart: the replicas were out of reach, so that a newer start may not be listed.
	errUnknownStart = errors.New("it is not known which start of the server answered")
)

// confirmStart waits until newer starts of the server that has answered, and of the one that began
// the stream, would be known here. It returns an error if there is one with other software, or if
// that can't be known. It returns at once for servers whose names identify their starts.
func (c *call) confirmStart(ctx context.Context, s fleet.Server) error {
	var began time.Time // when the latest event or attempt that is in question began
	if c.originStart.StartedAt > 0 && !c.router.listsNewer(c.originStart, c.origin.Load()) {
		began = c.originSince
	}
	if s.StartedAt > 0 {
		began = c.attemptStart
	}
	if !began.IsZero() {
		c.watchdog.suspend()
		select {
		case <-time.After(time.Until(began.Add(resumption.AnnounceTime))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	switch {
	case c.router.changedSoftware(s.Start(), c.origin.Load()), c.router.changedSoftware(c.originStart, c.origin.Load()):
		return errOtherStart
	case !began.IsZero() && !c.router.opt.ListIsCurrent():
		return errUnknownStart
	}
	return nil
}

// changedSoftware reports whether a newer start of a server is known that has other software than
// that of an origin.
func (r *Router) changedSoftware(start fleet.Start, o *resumption.Origin) bool {
	newer, ok := r.newerStart(start, o)
	return ok && !newer.Software.Same(o.Software)
}

// listsNewer reports whether a newer start of a server is known.
func (r *Router) listsNewer(start fleet.Start, o *resumption.Origin) bool {
	_, ok := r.newerStart(start, o)
	return ok
}

func (r *Router) newerStart(start fleet.Start, o *resumption.Origin) (newer fleet.Server, ok bool) {
	if start.StartedAt == 0 {
		return newer, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.NewerStart(o.Pool, start)
}

// endRecord ends the record of the call's stream, if there is one.
func (c *call) endRecord() {
	if c.recordEnded != nil {
		c.recordEnded()
	}
}

// findOrigin finds where the stream began that the caller resumes. If that is not certain, it sends
// the final answer and returns false: what another version writes does not fit.
func (c *call) findOrigin(ctx context.Context) bool {
	if !c.continues() || c.route.Semantics != routing.Stream || c.origin.Load() != nil {
		return true
	}
	f, outcome := c.findRecord(ctx)
	if outcome == noFirstCall || outcome == noRecord {
		if o, ok := c.onlyOrigin(ctx); ok {
			f.Record, f.From, outcome = c.record(o), fromLog, ""
		}
	}
	fields := log.Fields{"step": "resume stream", "from": f.From, "queried": f.Queried, "replies": f.Replies}
	if outcome != "" {
		c.router.opt.Metrics.StreamResumed(byCaller, outcome)
		c.logEntry().WithFields(fields).WithField("outcome", outcome).Info("stream not resumed")
		c.giveUp(outcome)
		return false
	}
	c.origin.Store(&f.Origin)
	if c.firstCall() != "" {
		c.keepRecord(f.Record) // its writer may have ended
	}
	if c.route.HasTarget(f.Origin.Pool) {
		c.pool = c.table.Pool(f.Origin.Pool)
	}
	fields["origin"], fields["record_age_ms"] = f.Origin.Software, f.Age.Milliseconds()
	c.logEntry().WithFields(fields).Info("stream resumed")
	return true
}

// Reasons for which a stream is not resumed.
const (
	noFirstCall  = "the first call of the stream is not named"
	noRecord     = "it is not known where the stream began"
	severalBegan = "several streams began under this call"
	startedAgain = "the server of the stream has started again with other software"
	startUnknown = "it is not known whether the server of the stream has started again"
)

// findRecord finds the record of the stream that the caller resumes; reason says why there is
// none.
func (c *call) findRecord(ctx context.Context) (f records.Finding, reason string) {
	if c.firstCall() == "" {
		return f, noFirstCall
	}
	if c.router.opt.Records == nil {
		return f, noRecord
	}
	f, ok := c.router.opt.Records.Find(ctx, c.streamKey())
	switch {
	case !ok:
		return f, noRecord
	case f.Ambiguous:
		return f, severalBegan
	case c.router.changedSoftware(f.Start, &f.Origin):
		return f, startedAgain
	case f.Start.StartedAt > 0 && !c.router.opt.ListIsCurrent():
		return f, startUnknown
	}
	c.originStart, c.originSince = f.Start, time.Now().Add(-f.Age)
	return f, ""
}

// fromLog is logged as the source of an origin that follows from the replicated log.
const fromLog = "replicated log"

// onlyOrigin returns the origin of a stream without a record, if there is only one that it can
// have: its route has one pool, whose servers have had one version since the log began.
func (c *call) onlyOrigin(ctx context.Context) (o resumption.Origin, ok bool) {
	if c.router.opt.OnlySoftware == nil || !c.route.HasOnlyTarget(c.pool.Name) {
		return o, false
	}
	v, ok, err := c.router.opt.OnlySoftware(ctx, c.pool.Name)
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "read software of pool", "pool": c.pool.Name, "call": c.info.ID}).Info("not known which software the pool has run")
	}
	return resumption.Origin{Pool: c.pool.Name, Software: v}, ok && v.Known()
}

// exclusion returns which servers the call may not be sent to: those where it was sent before, and
// those where its stream did not begin.
func (c *call) exclusion() func(s *fleet.Server) bool {
	o := c.origin.Load()
	return func(s *fleet.Server) bool {
		return slices.Contains(c.tried, s.ID) || o != nil && !o.Accepts(s)
	}
}

// noServerReason says why there is no server for the call.
func (c *call) noServerReason() string {
	if c.origin.Load() != nil {
		return "no backend server of the stream's software version"
	}
	return "no backend server"
}

// hasOtherServer reports whether a server is left for another attempt of the call.
func (r *Router) hasOtherServer(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.HasServer(time.Now(), c.pool.Name, c.exclusion())
}

// logResumption logs and counts that a server has sent the first event after an interruption.
func (c *call) logResumption(s fleet.Server) {
	by := withinAnswer
	switch {
	case c.stream.events == 0 && !c.continues():
		return
	case c.stream.events == 0 && c.resumes:
		by = byCaller
	}
	c.router.opt.Metrics.StreamResumed(by, "resumed")
	c.logEntry().WithFields(log.Fields{"server": s.ID, "by": by, "last_event": c.stream.lastID}).Info("stream continues")
}
