package commands

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cardamomwick.example/ctl/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a call on a declared route from the logs of many processes",
		ArgsUsage: "CALL-ID FILE...",
		Description: "Reads JSON lines of entries and replicas and prints the call's lines, what its instances\n" +
			"held at that time and what happened near it. Example: cardamomctl explain 9c41d07b logs/*.jsonl",
		Action: explainCall,
	}
}

func explainCall(_ context.Context, cmd *cli.Command) error {
	id, err := requiredArgument(cmd, 0, "the call's ID")
	if err != nil {
		return err
	}
	var logs []io.Reader
	for _, name := range cmd.Args().Slice()[1:] {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	explanation, err := explain.Read(id, logs...)
	if err != nil {
		return err
	}
	return explanation.Write(os.Stdout)
}
