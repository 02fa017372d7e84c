// Package explain collects from the logs of many processes the lines that explain the
// outcome of one call.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// eventWindow is the longest time between the call's end and an event that may be related
// to it.
const eventWindow = 3 * time.Second

// Line is a line of a log, in JSON.
type Line struct {
	Fields  map[string]any `json:"fields"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// text returns a field as text, empty if the line lacks it.
func (l *Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Explanation holds the log lines that explain one call. Each list is sorted by time.
type Explanation struct {
	// CallLines are about the call itself, and about the calls that resume the stream that it
	// began.
	CallLines []Line
	// InstanceState holds the lines that show what the instances that handled the call
	// knew when it ended, each the latest of its kind: the declaration, the replica group,
	// their own start, and the request limits of the servers that the call waited for.
	InstanceState []Line
	// Events are lines of any process: those close to the call's end that name a server
	// to which it was sent or report that an instance started or left, and all earlier
	// quarantine decisions on its request.
	Events []Line
	// SkippedLines counts the lines that are not JSON.
	SkippedLines int
}

// Read collects the lines that explain the call with an ID from logs.
func Read(callID string, logs ...io.Reader) (*Explanation, error) {
	e := &Explanation{}
	var others []Line
	for _, r := range logs {
		if err := e.scan(callID, r, &others); err != nil {
			return nil, err
		}
	}
	if len(e.CallLines) == 0 {
		return e, nil
	}
	sortByTime(e.CallLines)
	sortByTime(others)
	e.selectRelated(others)
	return e, nil
}

// scan adds the lines about the call to e and those that are about no call to others.
func (e *Explanation) scan(callID string, r io.Reader, others *[]Line) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Bytes()
		start := strings.IndexByte(string(text), '{') // log collectors may add a prefix
		var l Line
		if start < 0 || json.Unmarshal(text[start:], &l) != nil {
			e.SkippedLines++
			continue
		}
		switch {
		case l.text("call") == callID || l.text("resumes") == callID:
			e.CallLines = append(e.CallLines, l)
		case l.text("call") == "":
			*others = append(*others, l)
		}
	}
	return eris.Wrap(lines.Err(), "read log")
}

func sortByTime(list []Line) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
}

// selectRelated adds to e those of the lines about no call that are related to this one.
func (e *Explanation) selectRelated(others []Line) {
	end := e.CallLines[len(e.CallLines)-1].Time
	instances, servers := e.involved()
	digests := e.requestDigests()
	pools := e.limitedPools()
	latest := map[string]Line{}
	for _, l := range others {
		instance := l.text("instance")
		switch {
		case slices.Contains(instances, instance) && !l.Time.After(end) && reportsInstanceState(&l):
			latest[instance+l.Message] = l
		case !l.Time.After(end) && l.Fields["standing"] != nil && slices.Contains(digests, l.text("request")):
			e.Events = append(e.Events, l) // at any time before: a quarantine lasts minutes
		case l.text("step") == limitReadStep && slices.Contains(pools, l.text("pool")):
			if slices.Contains(instances, instance) && !l.Time.After(end) {
				latest[instance+limitReadStep+l.text("server")] = l
			}
		case l.Time.Sub(end).Abs() <= eventWindow && (slices.Contains(servers, l.text("server")) || reportsStartOrLeave(&l)):
			e.Events = append(e.Events, l)
		}
	}
	for _, l := range latest {
		e.InstanceState = append(e.InstanceState, l)
	}
	sortByTime(e.InstanceState)
}

// involved returns the instances that handled the call and the servers to which they
// sent it.
func (e *Explanation) involved() (instances, servers []string) {
	for i := range e.CallLines {
		l := &e.CallLines[i]
		instances = append(instances, l.text("instance"))
		if tried, ok := l.Fields["tried"].([]any); ok {
			for _, id := range tried {
				servers = append(servers, fmt.Sprint(id))
			}
		}
	}
	return instances, servers
}

// limitReadStep is the step of the lines about request limits that servers announce.
const limitReadStep = "read limit"

// limitedPools returns the pools in which the call waited for servers with request limits.
func (e *Explanation) limitedPools() []string {
	var out []string
	for i := range e.CallLines {
		if e.CallLines[i].Fields["waited_for_limits_ms"] != nil {
			out = append(out, e.CallLines[i].text("pool"))
		}
	}
	return out
}

// requestDigests returns the digests of the call's request.
func (e *Explanation) requestDigests() []string {
	var out []string
	for i := range e.CallLines {
		if r := e.CallLines[i].text("request"); r != "" {
			out = append(out, r)
		}
	}
	return out
}

// stateMessages are the beginnings of the messages that report the state of an instance.
var stateMessages = []string{"declaration in force", "replica group does not answer", "replica group is back", "instance started", "settings reloaded", "draining",
	"no server can be reached from this instance", "servers are reachable again", "this instance is partitioned"}

func reportsInstanceState(l *Line) bool {
	return slices.ContainsFunc(stateMessages, func(prefix string) bool { return strings.HasPrefix(l.Message, prefix) })
}

func reportsStartOrLeave(l *Line) bool {
	return l.Message == "instance started" || l.Message == "draining" || l.Message == "server leaves"
}

// Write prints the explanation as text.
func (e *Explanation) Write(w io.Writer) error {
	var out strings.Builder
	if len(e.CallLines) == 0 {
		out.WriteString("no line names this call: its entry was killed with it, the line was dropped (\"log lines dropped\"), or it never reached an entry\n")
	}
	writeSection(&out, "the call", e.CallLines)
	writeSection(&out, "held by its instances at that time", e.InstanceState)
	writeSection(&out, "near it, elsewhere", e.Events)
	if e.SkippedLines > 0 {
		fmt.Fprintf(&out, "%d lines are not JSON and were skipped\n", e.SkippedLines)
	}
	_, err := io.WriteString(w, out.String())
	return eris.Wrap(err, "write explanation")
}

func writeSection(b *strings.Builder, title string, list []Line) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for i := range list {
		l := &list[i]
		fmt.Fprintf(b, "  %s  %s: %s", l.Time.Format("15:04:05.000"), l.text("instance"), l.Message)
		for _, name := range sortedFieldNames(l.Fields) {
			fmt.Fprintf(b, " %s=%v", name, l.Fields[name])
		}
		b.WriteByte('\n')
	}
}

func sortedFieldNames(fields map[string]any) []string {
	var out []string
	for name := range fields {
		if name != "instance" {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
