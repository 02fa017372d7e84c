package commands

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/ctl/fake"
)

func fakeCommand() *cli.Command {
	return &cli.Command{Name: "fake", Usage: "run fake model engines and plain services",
		Flags: []cli.Flag{&cli.StringFlag{Name: "file", Usage: "the fake servers' TOML `FILE`; see samples/fake.toml", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := fake.LoadConfig(cmd.String("file"))
			if err != nil {
				return cli.Exit(err.Error(), ExitInput)
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return fake.NewRunner(cfg).Run(ctx)
		}}
}
