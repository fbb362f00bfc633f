//go:build review

// Command lab-3 plays the cases of the third review that are scripts: lab-3 CASE FOLDER TROUBLE, the last 0 for a run without the disruption. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the exit code of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// cases are the cases by the name of their folder. Trouble is false for a run without the disruption.
var cases = map[string]func(c *cell, trouble bool) (bool, error){
	"11": crowdOfLargeBodies, "12": regionCutOff, "13": machineAddedDuringCut, "14": jobsThatFail, "15": largeJobsAtOnce,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE FOLDER TROUBLE")
		os.Exit(int(notRun))
	}
	v, err := play(os.Args[1], os.Args[2], os.Args[3] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
	}
	fmt.Println("case", os.Args[1], [...]string{held: "held", broken: "broken", notRun: "not run"}[v])
	os.Exit(int(v))
}

// play runs a case and ends all its processes.
func play(name, folder string, trouble bool) (verdict, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun, err
	}
	c, err := newCell(r)
	if err != nil {
		return notRun, err
	}
	defer c.close()
	r.note("trouble: %t", trouble)
	signals, result := make(chan os.Signal, 1), make(chan error, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	isBroken := false
	go func() {
		b, err := cases[name](c, trouble)
		isBroken = b
		result <- err
	}()
	select {
	case s := <-signals:
		return notRun, fmt.Errorf("ended by signal: %s", s)
	case err = <-result:
	}
	if err != nil {
		return notRun, err
	}
	r.note("rule broken: %t", isBroken)
	if isBroken {
		return broken, nil
	}
	return held, nil
}

// second returns a number of seconds.
func second(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
