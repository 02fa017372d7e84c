// Command cardamomctl is the command-line tool of operators and developers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/zeromicro/go-zero/core/logx"

	"cardamomwick.example/core/httpbound"
	"cardamomwick.example/ctl/commands"
)

func main() {
	logx.Disable()
	httpbound.BoundDefault()
	if err := commands.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(commands.ExitFailed)
	}
}
