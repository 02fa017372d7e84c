package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/quarantine"
)

// brokenPromptRuns returns runs of one pool and customer that share their first part.
func brokenPromptRuns(n int) []brokenRun {
	var runs []brokenRun
	now := time.Now()
	for i := range n {
		p := NewPrompt("briefing-llm", "ana", []string{"5c1e07a2", fmt.Sprintf("91bd%04x", i)})
		runs = append(runs, brokenRun{request: request(fmt.Sprint("q", i))(), prompt: p, began: now, ended: now})
	}
	return runs
}

// A crash with thousands of calls in flight, each with many parts, must not fill messages or memory.
func TestPartReportsAreBounded(t *testing.T) {
	var parts []string
	for i := range 1000 {
		parts = append(parts, fmt.Sprint("part-", i))
	}
	ss, now := suspects{}, time.Now()
	for i := range 2 * maxRuns {
		p := NewPrompt("pool", "ana", append([]string{fmt.Sprint("own-", i)}, parts...))
		ss.add(now, "s", brokenRun{request: request(fmt.Sprint("q", i))(), prompt: p, began: now.Add(-time.Second), ended: now})
	}
	kept := 0
	for _, r := range ss["s"].runs {
		if r.prompt != nil {
			kept++
		}
	}
	if kept > maxPrompts {
		t.Errorf("%d prompts are kept", kept)
	}
	for _, list := range partReports(now, "s", ss["s"].runs, nil) {
		if len(list) > maxPartReports {
			t.Errorf("%d parts in one message", len(list))
		}
	}
	var b messageBucket
	sent := 0
	for range 1000 {
		if b.take(now) {
			sent++
		}
	}
	if sent > partMessageBurst {
		t.Errorf("%d messages at the same time", sent)
	}
}

// One report of a part lists the requests of all runs at the server, and when the latest one began.
func TestRunsAtOneServerAreOneReport(t *testing.T) {
	runs := brokenPromptRuns(3)
	runs[1].began = runs[1].began.Add(-time.Second)
	for group, list := range partReports(time.Now(), "s", runs, nil) {
		shared := quarantine.NewPart("briefing-llm", "5c1e07a2", "")
		if group != shared.Group() || len(list) != 8 {
			t.Fatalf("%d reports, want one for each of 4 parts and each of 2 scopes", len(list))
		}
		for _, e := range list {
			if e.Part.Part == shared && (len(e.Part.Requests) != 3 || e.Began > time.Second/2) {
				t.Errorf("got %d requests, began %v ago", len(e.Part.Requests), e.Began)
			}
		}
	}
}

// Measures building the message when one server terminates with 64 calls from one entry, the prompts
// of maxPrompts of which are kept. The size doesn't depend on the number of entries or servers.
func BenchmarkPartReports(b *testing.B) {
	now := time.Now()
	runs := brokenPromptRuns(maxPrompts)
	bytes := 0
	for b.Loop() {
		bytes = 0
		for _, list := range partReports(now, "i-0000000000", runs, []string{"i-0000000001"}) {
			data, err := msgpack.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes), "bytes/crash")
}

// Measures what a call with two shared parts pays for its digests.
func BenchmarkNewPrompt(b *testing.B) {
	for b.Loop() {
		NewPrompt("briefing-llm", "ana", []string{"5c1e07a2", "91bd3f06"})
	}
}

// Measures what a call pays while the registry is full of decisions.
func BenchmarkHeldPart(b *testing.B) {
	m := New(Options{})
	for i := range 512 {
		part := quarantine.NewPart("briefing-llm", fmt.Sprint(i), "")
		m.MergeDecisions([]quarantine.Decision{{Digest: part.Digest(), Part: &part, Status: quarantine.Held, Version: 1}})
	}
	p := NewPrompt("briefing-llm", "ana", []string{"5c1e07a2", "91bd3f06"})
	q := request("q")
	for b.Loop() {
		m.Held(q, p)
	}
}
