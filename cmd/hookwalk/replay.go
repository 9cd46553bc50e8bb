package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"hookwalk.example/hookwalk/internal/capture"
)

// replay is the command that plays a capture into the module of this build.
func replay(args []string, stdout, stderr io.Writer) (code int) {
	flags := newFlags(stderr)
	name := flags.String("capture", "", "")
	if code, done := parse(flags, args); done {
		return code
	}
	if *name == "" {
		fmt.Fprintln(stderr, "hookwalk: replay needs --capture")
		flags.Usage()
		return exitUsage
	}
	result, err := replayFile(*name, stdout, stderr)
	if err != nil {
		failed(stderr, err)
		return exitUsage // 1 is for differences
	}
	fmt.Fprintf(stdout, "%d records compared, %d differences, %d skipped\n", result.Compared, result.Differences, result.Skipped)
	if result.Differences > 0 {
		return exitFailed
	}
	if result.Compared == 0 {
		failed(stderr, errors.New("nothing could be compared"))
		return exitUsage
	}
	return 0
}

func replayFile(name string, stdout, stderr io.Writer) (capture.Result, error) {
	f, err := os.Open(name)
	if err != nil {
		return capture.Result{}, err
	}
	defer f.Close()
	return capture.Replay(name, f, stdout, func(format string, args ...any) {
		fmt.Fprintf(stderr, "hookwalk: warning: "+format+"\n", args...)
	})
}
