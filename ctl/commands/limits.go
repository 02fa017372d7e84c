package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/ctl/client"
)

func limitsCommand() *cli.Command {
	return &cli.Command{
		Name:  "limits",
		Usage: "show the request limits announced by servers, as known to one instance that accepts calls",
		Description: "LIMIT is the number of requests per second that the server accepts from all instances together,\n" +
			"SHARE is this instance's part of it.\n" +
			"Example: cardamomctl limits --at 10.0.0.3:9464",
		Flags:  []cli.Flag{metricsAddressFlag("an instance that accepts calls")},
		Action: withMetricsAddress(limitsList),
	}
}

func limitsList(ctx context.Context, cmd *cli.Command, address string) error {
	page, err := client.ReadLimits(ctx, address)
	if err != nil {
		return err
	}
	return printOutput(cmd, page, func(w io.Writer) {
		fmt.Fprintln(w, "POOL\tSERVER\tLIMIT\tSHARE\tSENT\tSINCE")
		for _, l := range page.Limits {
			fmt.Fprintf(w, "%s\t%s\t%g\t%.3f\t%d\t%s\n", l.Pool, l.Server, l.PerSecond, l.Share, l.Sent, l.Since.Format(time.RFC3339))
		}
		fmt.Fprintf(w, "\ncalls that wait\t%d\n", page.Waiting)
	})
}
