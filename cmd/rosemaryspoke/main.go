// Command rosemaryspoke is the daemon of the cluster scheduler and its command-line client.
package main

import (
	"context"
	"os"

	"github.com/rosemaryspoke/rosemaryspoke/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
