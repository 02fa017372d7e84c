package commands

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomwick.example/core/state"
	"cardamomwick.example/ctl/client"
)

func serverCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "list and retire backend servers",
		Commands: []*cli.Command{
			{Name: "list", Usage: "show all backend servers", Action: withClient(serverList)},
			{Name: "retire", Usage: "stop sending new work to a backend server", ArgsUsage: "ID", Flags: []cli.Flag{noWaitFlag()}, Action: withClient(serverRetire)},
		},
	}
}

func serverList(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	list, err := c.Servers(ctx)
	if err != nil {
		return err
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Pool != list[j].Pool {
			return list[i].Pool < list[j].Pool
		}
		return list[i].ID < list[j].ID
	})
	return printOutput(cmd, list, func(w io.Writer) {
		fmt.Fprintln(w, "POOL\tID\tADDRESS\tZONE\tGRANTED\tREPORTED\tSLOTS\tSPEED\tSTATE\tDISPATCHER")
		for _, s := range list {
			st := "usable"
			if s.RequestsPerSecond != nil {
				st = fmt.Sprintf("takes %g requests/s", *s.RequestsPerSecond)
			}
			switch {
			case s.Retired:
				st = "retired"
			case !s.Usable:
				st = "silent or failing"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\n", s.Pool, s.ID, s.Address, s.Zone, s.Granted, s.Running+s.Queued, s.Slots, s.Speed, st, s.Dispatcher)
		}
	})
}

func serverRetire(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	id, err := requiredArgument(cmd, 0, "the ID of the backend server")
	if err != nil {
		return err
	}
	res, err := c.Retire(ctx, id)
	if err != nil {
		return err
	}
	if res.Code != state.CodeExists {
		if err := printResult(cmd, res); err != nil {
			return err
		}
	}
	return waitInForce(ctx, cmd, c, res.Order.Generation)
}

func instanceCommand() *cli.Command {
	return &cli.Command{Name: "instance", Usage: "list the instances", Commands: []*cli.Command{
		{Name: "list", Usage: "show all instances", Action: withClient(instanceList)},
	}}
}

func instanceList(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	list, err := c.Instances(ctx)
	if err != nil {
		return err
	}
	return printOutput(cmd, list, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tZONE\tADDRESS\tREPLICA\tGENERATION\tLEASE\tDRAINING\tWAITING\tRUNNING\tREACHABLE")
		for _, i := range list {
			lease := "lapsed"
			if i.LeaseFresh {
				lease = "fresh"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\t%t\t%d\t%d\t%t\n", i.Name, i.Zone, i.Address, i.Replica, i.Generation, lease, i.Draining, i.Waiting, i.Running, i.Reachable)
		}
	})
}

func replicaCommand() *cli.Command {
	return &cli.Command{Name: "replica", Usage: "show the replica group", Commands: []*cli.Command{
		{Name: "status", Usage: "show leader, members and their lag. A replica whose disk was lost is replaced automatically when its instance starts with an empty data folder", Action: withClient(replicaStatus)},
	}}
}

func replicaStatus(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	st, err := c.Status(ctx)
	if err != nil {
		return err
	}
	return printOutput(cmd, st, func(w io.Writer) {
		fmt.Fprintf(w, "group %x, term %d, commit %d, log from %d, %d calls remembered\n\n", st.Group, st.Term, st.CommitIndex, st.FirstLogIndex, st.RememberedCalls)
		fmt.Fprintln(w, "ID\tADDRESS\tROLE\tBEHIND\tACTIVE")
		for _, m := range st.Members {
			role := "learner"
			switch {
			case m.Leader:
				role = "leader"
			case m.Voter:
				role = "follower"
			}
			behind := uint64(0)
			if !m.Leader && st.CommitIndex > m.MatchIndex {
				behind = st.CommitIndex - m.MatchIndex
			}
			fmt.Fprintf(w, "%x\t%s\t%s\t%d\t%t\n", m.ID, m.Address, role, behind, m.Active)
		}
	})
}

func auditCommand() *cli.Command {
	return &cli.Command{Name: "audit", Usage: "show and verify the audit trail",
		Flags: []cli.Flag{&cli.UintFlag{Name: "after", Usage: "start after this sequence number"}}, Action: withClient(auditList)}
}

func auditList(ctx context.Context, cmd *cli.Command, c *client.Client) error {
	list, err := c.Audit(ctx, uint64(cmd.Uint("after")))
	if err != nil {
		return err
	}
	if err := state.VerifyAudit(list); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	return printOutput(cmd, list, func(w io.Writer) {
		fmt.Fprintln(w, "SEQ\tAT\tOPERATOR\tORDER\tVERSION\tSERVER\tGENERATION\tHASH")
		for _, e := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\t%d -> %d\t%s\n", e.Sequence, time.UnixMilli(e.AtMillis).UTC().Format(time.RFC3339), e.Operator, e.Kind, e.Version, e.Server, e.GenerationBefore, e.GenerationAfter, e.Hash[:12])
		}
		fmt.Fprintf(w, "%d entries, chain verified\n", len(list))
	})
}
