// Command cardamomwickd is the daemon that runs on every instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"cardamomwick.example/core/httpbound"
	"cardamomwick.example/daemon"
	"cardamomwick.example/daemon/replica"
	"cardamomwick.example/daemon/settings"
	"cardamomwick.example/platform"
)

// heapShare is the part of the machine's memory, in percent, from which garbage is collected at once.
const heapShare = 75

// gcPercent trades processor time for memory, since instances run on small machines.
const gcPercent = 50

// Exit codes.
const (
	exitSettings = 2
	exitFailed   = 1
)

func main() {
	httpbound.BoundDefault()
	cmd := &cli.Command{
		Name:  "cardamomwickd",
		Usage: "route language-model traffic by service levels and priorities",
		Description: "Runs one instance. Its settings determine its roles: with a data folder it is also a\n" +
			"replica of the durable state; with [routing] it serves declared routes on a platform.\n" +
			"On SIGHUP, and when the file changes, it reloads seeds, frame keys and log level.\n" +
			"On SIGTERM it drains, finishes the calls in flight and stops.\n\n" +
			"Exit codes: 0 stopped gracefully, 1 failed, 2 invalid settings.\n\n" +
			"Example: cardamomwickd --settings /etc/cardamomwick/instance.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE` (TOML)", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// instance is a daemon.Daemon or a daemon.Routed.
type instance interface {
	Run(stop context.Context) error
	Reload(s *settings.Settings) error
}

func newInstance(s *settings.Settings) (instance, error) {
	if s.Routing.Enabled {
		return daemon.NewRouted(s, platform.Adapter{})
	}
	return daemon.New(s)
}

func run(_ context.Context, cmd *cli.Command) error {
	file := cmd.String("settings")
	s, err := settings.Load(file)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if cmd.Bool("check") {
		for _, p := range s.Warnings() {
			fmt.Printf("%s: %s: %s\n", file, p.Key, p.Reason)
		}
		fmt.Println("settings are good")
		return nil
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(s.Tuning().MemoryBytes / 100 * heapShare)
	flushLog := daemon.SetUpLog(logFile(s), s.Log.Level, s.Instance.Name)
	defer flushLog()
	logWarnings(s, file)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	d, err := newInstance(s)
	if err != nil {
		code := startExitCode(err)
		log.WithError(err).WithFields(log.Fields{"step": "start", "exit_code": code}).Error("instance can't start")
		return cli.Exit(err.Error(), code)
	}
	go reloadOnChange(d, file, hangups)
	if err := d.Run(stop); err != nil {
		log.WithError(err).WithFields(log.Fields{"step": "run", "exit_code": exitFailed}).Error("instance ended with an error")
		return cli.Exit(err.Error(), exitFailed)
	}
	return nil
}

// startExitCode tells a start that can't succeed without other settings from one that may.
func startExitCode(err error) int {
	if errors.Is(err, replica.ErrUnusableFolder) {
		return exitSettings
	}
	return exitFailed
}

// logWarnings logs the settings whose values were replaced or ignored.
func logWarnings(s *settings.Settings, file string) {
	for _, p := range s.Warnings() {
		log.WithFields(log.Fields{"step": "read settings", "file": file, "key": p.Key}).Warn(p.Reason)
	}
}

// logFile returns the file that the log is written to: standard output on a platform, which
// collects it, otherwise standard error.
func logFile(s *settings.Settings) *os.File {
	if s.Routing.Enabled {
		return os.Stdout
	}
	return os.Stderr
}
