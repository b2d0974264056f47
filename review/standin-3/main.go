// Command standin3 runs the cases of the third review that are scripts: it plays the store, the
// executors and the clients, and starts the VMs as processes.
package main

import (
	"flag"
	"fmt"
	"os"
)

// result is the outcome of a case, and the exit status.
type result int

const (
	held   result = 0
	broken result = 1
	failed result = 2
)

// options are the parameters of a case.
type options struct {
	root   string
	record *os.File
	// trouble is false for the run without the disruption.
	trouble bool
}

var cases = map[string]func(options) result{}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Println("no such case")
		os.Exit(int(failed))
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(int(failed))
	}
	code := run(options{root: *root, record: file, trouble: os.Getenv("TROUBLE") != "0"})
	_ = file.Close()
	os.Exit(int(code))
}
