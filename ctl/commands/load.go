package commands

import "github.com/urfave/cli/v3"

func loadCommand() *cli.Command {
	return &cli.Command{Name: "load", Usage: "drive traffic from a profile and report"}
}
