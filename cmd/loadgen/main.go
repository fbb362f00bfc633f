// Command loadgen generates load on a cell of daemons over loopback and prints its measurements.
package main

import (
	"context"
	"os"

	"github.com/rosemaryspoke/rosemaryspoke/internal/load"
)

func main() {
	os.Exit(load.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
