// Command unframed crashes an engine in the middle of streams that end with their connection, and
// starts it again at once, as a new incarnation at the same address.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"cardamomwick.example/review/lab"
)

const (
	rounds = 8
	events = 20
	gap    = 50 * time.Millisecond
	// crashAfter is how long a stream runs before its engine crashes, between two events.
	crashAfter = 425 * time.Millisecond
	limit      = 10 * time.Second
	// restartAfter is the time until the crashed engine's process is started again.
	restartAfter = 20 * time.Millisecond
	refusedPause = 200 * time.Millisecond
	// settle is the time until all fronts know an engine.
	settle = 2500 * time.Millisecond
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
	address, err := s.FreeAddress()
	if err != nil {
		return 2, err
	}
	var control []string
	for _, c := range s.Cores {
		control = append(control, s.Address(c, "control"))
	}
	start := func(n int) (*exec.Cmd, error) {
		cmd := exec.Command(root+"/target/review/engine", "-id", fmt.Sprint("i-", n), "-address", address, "-control", strings.Join(control, ","),
			"-events", fmt.Sprint(events), "-gap", gap.String())
		cmd.Stderr = os.Stderr
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		return cmd, cmd.Start()
	}
	engine, err := start(0)
	if err != nil {
		return 2, err
	}
	defer func() { _ = engine.Process.Kill(); _ = engine.Wait() }()
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(settle)
	trouble := os.Getenv("TROUBLE") != "0"
	broken, complete := 0, 0
	for n := 1; n <= rounds; n++ {
		id := fmt.Sprintf("%016x", n)
		ended := make(chan string, 1)
		go func() { ended <- stream(s.Address(s.Fronts[n%2], "front"), id) }()
		time.Sleep(crashAfter)
		if trouble {
			if err := engine.Process.Kill(); err != nil {
				return 2, err
			}
			_ = engine.Wait()
			crashed := time.Now()
			time.Sleep(restartAfter)
			if engine, err = start(n); err != nil {
				return 2, err
			}
			rec.Print("engine i-%d crashed, i-%d starts at its address %.1f ms later", n-1, n, time.Since(crashed).Seconds()*1000)
		}
		result := <-ended
		rec.Print("stream %s: %s", id, result)
		switch {
		case strings.HasPrefix(result, "complete with fewer"):
			broken++
		case strings.HasPrefix(result, "complete"):
			complete++
		}
		time.Sleep(settle)
	}
	rec.Print("%d of %d streams ended as complete before their last piece, %d were whole", broken, rounds, complete)
	fmt.Println(broken, "streams ended as complete before their last piece,", complete, "were whole")
	switch {
	case broken > 0:
		return 1, nil
	case !trouble && complete < rounds:
		return 2, nil
	}
	return 0, nil
}

// stream sends a request on a new connection, again after a refusal, and says how its answer ended.
func stream(address, id string) string {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return err.Error()
		}
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(limit))
		fmt.Fprintf(c, "POST /pufi791/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: key-1\r\nContent-Length: 2\r\n\r\n{}", id, limit.Milliseconds())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return "no answer: " + err.Error()
		}
		data, err := io.ReadAll(resp.Body)
		n := strings.Count(string(data), "id: ")
		switch {
		case resp.StatusCode == http.StatusServiceUnavailable: // it has not run; the client asks again
			time.Sleep(refusedPause)
			continue
		case resp.StatusCode != 200:
			return fmt.Sprint("status ", resp.StatusCode)
		case err != nil:
			return fmt.Sprintf("broken off after %d of %d events: %v", n, events, err)
		case n < events:
			return fmt.Sprintf("complete with fewer events: %d of %d, status 200, signature %s", n, events, resp.Header.Get("X-Response-Signature"))
		}
		return fmt.Sprintf("complete with %d events", n)
	}
	return "time is over"
}
