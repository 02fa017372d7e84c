// Command reclaimed has the provider take away all engines of a model service at once, while callers
// send long prompts. It then asks the other service, whose engine is sound, whether the fronts answer.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	// Long prompts, as those of the digests on the sheet: 5,382 shared and 6,610 other tokens.
	firstPart, secondPart, ownPart = 512, 4870, 6610
	outputTokens                   = 96
	// perSecond is the rate of the long prompts; on the sheets it is 12 to 20. Their own tokens are four
	// fifths of what the engines can read.
	perSecond = 20
	// prefillPerMS is the prefill speed of an engine in tokens, as on the sheet of the loan requests.
	prefillPerMS = 41.4
	// models is the number of engines of the model service.
	models   = 4
	events   = 12
	eventGap = 20 * time.Millisecond
	slots    = 64
	// loadTime is how long the prompts come before the notice, afterNotice how long they go on.
	loadTime, afterNotice = 12 * time.Second, 4 * time.Second
	// leavesIn is the time from the notice until the engines are gone.
	leavesIn = 2500 * time.Millisecond
	// probes are the requests that are sent to each front afterwards, on a route with a time-out of
	// routeTimeout; they have answerTime in all, by the rule.
	probes       = 12
	routeTimeout = time.Second
	answerTime   = routeTimeout + 500*time.Millisecond
	// allowed is the number of requests without an answer that the rule allows.
	allowed = 7
)

func main() {
	root := flag.String("root", ".", "repository root")
	folder := flag.String("folder", ".", "folder for the record")
	flag.Parse()
	code, err := run(*root, *folder)
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// engine is a sound engine or plain service.
type engine struct {
	id, service, address, zone string
	spot                       bool
	rec                        *lab.Record

	sequence atomic.Uint64
	running  atomic.Int64
	ran      atomic.Int64
	// prefill is held while a prompt is read: prompts are read one after the other.
	prefill sync.Mutex
	// cached holds the shared parts that were read before. It is guarded by prefill.
	cached map[string]bool
	server *http.Server
}

func (e *engine) start(ctx context.Context, control []string) {
	e.cached = map[string]bool{}
	e.server = &http.Server{Addr: e.address, Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.ListenAndServe() }()
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			e.report(ctx, control[n%len(control)], "ready")
			select {
			case <-ctx.Done():
			case <-time.After(lab.Heartbeat):
			}
		}
	}()
}

// report sends a liveness report and returns the status.
func (e *engine) report(ctx context.Context, to, state string) int {
	m := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots,
		"state": state, "cold_remaining_ms": 0, "sequence": e.sequence.Add(1)}
	if e.spot {
		m["spot"] = true
		if state == "draining" {
			m["leaves_ms"] = leavesIn.Milliseconds()
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // plain data
	}
	return lab.PutReport(ctx, to, e.id, data)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running.Add(1) > slots {
		e.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.ran.Add(1)
	w.Header().Set("X-Response-Signature", "sig-"+id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), slots))
	prefix := r.Header.Get("X-Prompt-Prefix")
	if prefix == "" {
		time.Sleep(15 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
		return
	}
	if !e.read(r.Context(), prefix) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: words\n\n", i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

// read reads a prompt; it returns false if the request has ended before.
func (e *engine) read(ctx context.Context, prefix string) bool {
	e.prefill.Lock()
	defer e.prefill.Unlock()
	if ctx.Err() != nil {
		return false
	}
	tokens := 0
	for _, part := range strings.Split(prefix, ",") {
		id, n, _ := strings.Cut(part, ":")
		if !e.cached[id] {
			count, _ := strconv.Atoi(n) // sent by this program
			tokens += count
			e.cached[id] = true
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(tokens) / prefillPerMS * float64(time.Millisecond))):
	}
	return true
}

// leave reports that the engine drains until that is acknowledged. It serves for leavesIn from the
// notice on and is gone then.
func (e *engine) leave(ctx context.Context, control []string) {
	noticed := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		if status := e.report(ctx, control[n%len(control)], "draining"); status == http.StatusOK {
			e.rec.Print("engine %s drains; acknowledged after %v", e.id, time.Since(noticed).Round(time.Millisecond))
			break
		}
	}
	time.Sleep(time.Until(noticed.Add(leavesIn)))
	status, _ := lab.Do(ctx, http.DefaultClient, "DELETE", "http://"+control[0]+"/instances/"+e.id, nil)
	_ = e.server.Close()
	e.rec.Print("engine %s is gone (%d)", e.id, status)
}

// load sends long prompts to the fronts in turn until the context ends.
func load(ctx context.Context, s *lab.System, rec *lab.Record, label string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		f := s.Fronts[n%len(s.Fronts)]
		all.Go(func() {
			id := fmt.Sprintf("%s-%d", label, n)
			call, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			sent := time.Now()
			status, body := lab.Do(call, client, "POST", "http://"+s.Address(f, "front")+"/lohu930/x", []byte("prompt"), "Host", "ficu95.example", "X-Attempt-Id", id,
				"X-Deadline-Ms", "10000", "X-Api-Key", "key-1", "X-Model", "m", "X-Token-Count", fmt.Sprintf("%d,%d", firstPart+secondPart+ownPart, outputTokens),
				"X-Prompt-Prefix", fmt.Sprintf("a%d:%d,b%d:%d,%s:%d", n%3, firstPart, n%9, secondPart, id, ownPart))
			if status == 0 {
				body = "no answer: " + body
			} else {
				body = fmt.Sprint(len(body), " bytes")
			}
			rec.Print("%s at %s: %d after %v, %s", id, f.Name, status, time.Since(sent).Round(time.Millisecond), body)
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	all.Wait()
}

// probe sends requests to the sound service through each front and returns how many got no answer
// within answerTime.
func probe(s *lab.System, rec *lab.Record) (unanswered int) {
	var missing atomic.Int64
	var all sync.WaitGroup
	for _, f := range s.Fronts {
		for i := range probes {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), answerTime)
				defer cancel()
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				id := fmt.Sprintf("ping-%s-%d", f.Name, i)
				status, body := lab.Do(ctx, client, "GET", "http://"+s.Address(f, "front")+"/ping22/x", nil, "Host", "ficu95.example", "X-Attempt-Id", id,
					"X-Deadline-Ms", fmt.Sprint(routeTimeout.Milliseconds()), "X-Api-Key", "key-1")
				rec.Print("%s: %d %q", id, status, body)
				if status == 0 {
					missing.Add(1)
				}
			})
		}
	}
	all.Wait()
	return int(missing.Load())
}

func run(root, folder string) (int, error) {
	rec, err := lab.NewRecord(folder)
	if err != nil {
		return 2, err
	}
	s, err := lab.New(lab.Options{Root: root, Cores: 3, Fronts: 2, Zones: []string{"a", "b"}, Record: rec})
	if err != nil {
		return 2, err
	}
	defer s.Stop()
	if err := s.StartAll(); err != nil {
		return 2, err
	}
	if err := s.Configure(lab.Config(1)); err != nil {
		return 2, err
	}
	control := s.ControlAddresses()
	sound := &engine{id: "i-svc-1", service: "roster-svc", zone: "a"}
	engines := []*engine{sound}
	for i := range models {
		engines = append(engines, &engine{id: fmt.Sprint("i-llm-", i+1), service: "briefing-llm", zone: "a", spot: true})
	}
	var stop []context.CancelFunc
	for _, e := range engines {
		if e.address, err = s.FreeAddress(); err != nil {
			return 2, err
		}
		e.rec = rec
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stop = append(stop, cancel)
		e.start(ctx, control)
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(lab.InTouch)
	if n := probe(s, rec); n > 0 {
		return 2, fmt.Errorf("%d requests have no answer before the disruption", n)
	}
	loading, end := context.WithCancel(context.Background())
	defer end()
	loaded := make(chan struct{})
	go func() { defer close(loaded); load(loading, s, rec, "digest") }()
	time.Sleep(loadTime)
	if os.Getenv("TROUBLE") != "0" {
		rec.Print("the provider reclaims the engines of the zone")
		for i, e := range engines {
			if e.spot {
				stop[i]()
				go e.leave(context.Background(), control)
			}
		}
	}
	time.Sleep(afterNotice)
	for _, f := range s.Fronts {
		status, _ := lab.Do(context.Background(), http.DefaultClient, "GET", "http://"+s.Address(f, "ready")+"/ready", nil)
		rec.Print("%s: GET /ready: %d", f.Name, status)
	}
	unanswered := probe(s, rec)
	end()
	<-loaded
	fmt.Printf("%d of %d requests to the sound service have no answer %v after their time-out; its engine ran %d\n",
		unanswered, probes*len(s.Fronts), answerTime-routeTimeout, sound.ran.Load())
	if unanswered > allowed && 4*unanswered > probes*len(s.Fronts) {
		return 1, nil
	}
	return 0, nil
}
