// Package commands implements the command line of cardamomctl.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/client"
)

// Exit codes of cardamomctl.
const (
	ExitFailed      = 1
	ExitInput       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

const exitHelp = "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict or refused by the system, 4 no instance answered in time."

// New returns the whole command tree.
func New() *cli.Command {
	return &cli.Command{
		Name:        "cardamomctl",
		Usage:       "operate and try out cardamomwick",
		Description: "The usual way to configure the system is a bundle kept in version control:\n\n" + "  cardamomctl bundle check bundle.toml\n  cardamomctl bundle diff bundle.toml\n  cardamomctl bundle publish bundle.toml\n\n" + exitHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "instances", Usage: "caller addresses of instances, separated by commas", Sources: cli.EnvVars("CARDAMOMWICK_INSTANCES")},
			&cli.StringFlag{Name: "key", Usage: "the operator's key `FILE`", Sources: cli.EnvVars("CARDAMOMWICK_KEY")},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to try", Value: 20 * time.Second},
		},
		Commands: []*cli.Command{bundleCommand(), serverCommand(), instanceCommand(), replicaCommand(), keysCommand(), auditCommand(), loadCommand(), fakeCommand(), explainCommand(), usageCommand(), dutiesCommand(), limitsCommand()},
	}
}

// newClient returns a client with the addresses and the key that the global flags name.
func newClient(cmd *cli.Command) (*client.Client, error) {
	addresses := strings.FieldsFunc(cmd.String("instances"), func(r rune) bool { return r == ',' })
	if len(addresses) == 0 {
		return nil, cli.Exit("--instances is required (or CARDAMOMWICK_INSTANCES), for example --instances 127.0.0.1:7001", ExitInput)
	}
	if cmd.String("key") == "" {
		return nil, cli.Exit("--key is required (or CARDAMOMWICK_KEY); make one with: cardamomctl keys generate", ExitInput)
	}
	key, err := client.LoadKey(cmd.String("key"))
	if err != nil {
		return nil, cli.Exit(err.Error(), ExitInput)
	}
	return &client.Client{Addresses: addresses, Key: key}, nil
}

// withClient returns an action that runs f with a client and the timeout of the flags.
func withClient(f func(ctx context.Context, cmd *cli.Command, c *client.Client) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return withExitCode(f(ctx, cmd, c))
	}
}

// withExitCode adds the exit code for an error to it.
func withExitCode(err error) error {
	var coded cli.ExitCoder
	switch {
	case err == nil, errors.As(err, &coded):
		return err
	case errors.Is(err, client.ErrRefused):
		return cli.Exit(err.Error(), ExitConflict)
	case errors.Is(err, client.ErrUnreachable), errors.Is(err, context.DeadlineExceeded):
		return cli.Exit(err.Error()+"\nCheck that the system runs and that --instances lists caller addresses of its instances. Every command is safe to repeat.", ExitUnreachable)
	}
	return cli.Exit(err.Error(), ExitFailed)
}

// printOutput prints v as JSON, or calls table to print it as a table, as --output says.
func printOutput(cmd *cli.Command, v any, table func(w io.Writer)) error {
	if cmd.String("output") == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// requiredArgument returns the n-th argument, or an error that names it by its
// description.
func requiredArgument(cmd *cli.Command, n int, description string) (string, error) {
	if cmd.Args().Len() <= n {
		return "", cli.Exit(fmt.Sprintf("missing argument: %s\nSee: cardamomctl %s --help", description, cmd.FullName()), ExitInput)
	}
	return cmd.Args().Get(n), nil
}

func loadBundle(cmd *cli.Command) (*bundle.Bundle, error) {
	file, err := requiredArgument(cmd, 0, "the bundle FILE")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, cli.Exit(err.Error(), ExitInput)
	}
	b, err := bundle.ParseTOML(data)
	if err != nil {
		return nil, cli.Exit(file+":\n"+err.Error(), ExitInput)
	}
	return b, nil
}

// printResult prints the result of an order. Any code but OK is an error with the exit
// code for conflicts.
func printResult(cmd *cli.Command, res state.Result) error {
	if err := printOutput(cmd, res, func(w io.Writer) {
		fmt.Fprintf(w, "result\t%s\n", res.Code)
		if res.Message != "" {
			fmt.Fprintf(w, "reason\t%s\n", res.Message)
		}
		fmt.Fprintf(w, "generation\t%d\nbundle version\t%d\n", res.Order.Generation, res.Order.Version)
	}); err != nil {
		return err
	}
	if res.Code != state.CodeOK {
		return cli.Exit("the order changed nothing", ExitConflict)
	}
	return nil
}

// waitInForce waits until a generation is in force on all instances, and prints the
// progress to standard error. With --no-wait it returns at once.
func waitInForce(ctx context.Context, cmd *cli.Command, c *client.Client, generation uint64) error {
	if cmd.Bool("no-wait") {
		return nil
	}
	start := time.Now()
	last := ""
	err := c.WaitInForce(ctx, generation, func(inForce, total int) {
		if line := fmt.Sprintf("in force on %d of %d instances", inForce, total); line != last {
			fmt.Fprintln(os.Stderr, line)
			last = line
		}
	})
	if err == nil {
		fmt.Fprintf(os.Stderr, "in force everywhere after %d ms\n", time.Since(start).Milliseconds())
	}
	return err
}

func noWaitFlag() cli.Flag {
	return &cli.BoolFlag{Name: "no-wait", Usage: "don't wait until the change is in force on all instances"}
}
