// Command standin2 runs the cases of the second review that are scripts: it starts the project's program as processes, with a store,
// workers and clients of its own, all on loopback addresses.
//
//	standin2 -case N -program target/guavapaddle -record record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment nothing is
// disrupted.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name. Each returns the broken rule's finding, empty if the rule held.
var cases = map[string]func(w *world, trouble bool) (string, error){
	"late-copy":   lateCopy,
	"late-report": lateReport,
	"late-model":  lateModel,
	"late-order":  lateOrder,
	"late-shed":   lateShed,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/guavapaddle", "the project's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for the nodes' logs, none if empty")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	w, err := newWorld(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	found, err := run(w, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		status = 2
	case found != "":
		w.note("BROKEN: %s", found)
		status = 1
	default:
		w.note("the rule held")
	}
	fmt.Println("exit", status, found, err)
	w.close(*logs)
	os.Exit(status)
}
