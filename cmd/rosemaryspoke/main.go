// Command rosemaryspoke is the cluster scheduler's daemon and its command line.
package main

import (
	"context"
	"os"

	"github.com/rosemaryspoke/rosemaryspoke/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
