// Command cardamomwickd is the daemon that runs on every instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"cardamomwick.example/daemon"
	"cardamomwick.example/daemon/settings"
)

// gcPercent trades some processor time for memory: the instances are small.
const gcPercent = 50

// Exit codes.
const (
	exitSettings = 2
	exitFailed   = 1
)

func main() {
	cmd := &cli.Command{
		Name:  "cardamomwickd",
		Usage: "route language-model traffic by service levels and priorities",
		Description: "Runs one instance. Which role it has follows from its settings: with a data folder it is\n" +
			"also a replica of the durable state. SIGHUP reads frame keys and log level again. SIGTERM drains and stops it without cutting a call off.\n\n" +
			"Exit codes: 0 stopped gracefully, 1 failed, 2 bad settings.\n\n" +
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

func run(_ context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if cmd.Bool("check") {
		fmt.Println("settings are good")
		return nil
	}
	debug.SetGCPercent(gcPercent)
	daemon.SetUpLog(os.Stderr, s.Log.Level, s.Instance.Name)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := daemon.New(s)
	if err != nil {
		log.WithError(err).WithField("step", "start").Error("instance can't start")
		return cli.Exit(err.Error(), exitFailed)
	}
	go reloadOnSignal(d, cmd.String("settings"))
	if err := d.Run(stop); err != nil {
		log.WithError(err).WithField("step", "run").Error("instance ended with an error")
		return cli.Exit(err.Error(), exitFailed)
	}
	return nil
}

// reloadOnSignal reads the settings again at each SIGHUP.
func reloadOnSignal(d *daemon.Daemon, file string) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	for range hangUps {
		s, err := settings.Load(file)
		if err == nil {
			err = d.Reload(s)
		}
		if err != nil {
			log.WithError(err).WithField("step", "reload settings").Error("the old settings stay")
		}
	}
}
