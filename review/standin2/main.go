package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE, in the case's folder")
		os.Exit(exitCannotRun)
	}
	r := newRig()
	cases[os.Args[1]](r)
	r.finish()
}
