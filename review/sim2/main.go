package main

import (
	"fmt"
	"os"
)

// The exit codes of a script.
const (
	held     = 0
	broken   = 1
	unusable = 2
)

// cases are the scripts by name.
var cases = map[string]func(*sim) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim2 CASE DIR, in the root of the repository")
		os.Exit(unusable)
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unusable)
	}
	s, err := newSim(temp, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unusable)
	}
	code := cases[os.Args[1]](s)
	s.stopAll()
	s.record("result %d", code)
	if data, err := os.ReadFile(temp + "/record.txt"); err == nil {
		_ = os.WriteFile(os.Args[2]+"/record.txt", data, 0o644)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	} else {
		fmt.Println(temp)
	}
	fmt.Println("result", code)
	os.Exit(code)
}
