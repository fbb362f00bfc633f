// Command rosemaryspoke is the cluster scheduler's daemon and its command line.
package main

func main() {}
