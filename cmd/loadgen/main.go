// Command loadgen drives a cell of daemons on loopback and prints what it measured.
package main

import (
	"context"
	"os"

	"github.com/rosemaryspoke/rosemaryspoke/internal/load"
)

func main() {
	os.Exit(load.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
