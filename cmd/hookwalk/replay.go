package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"hookwalk.example/hookwalk/internal/capture"
)

type replayCommand struct {
	Capture string `required:"" placeholder:"FILE" help:"The capture to replay."`
}

// Run replays a capture with the decision module of this build.
func (c replayCommand) Run(out streams) error {
	result, err := replayFile(c.Capture, out.stdout, out.stderr)
	if err != nil {
		printFailure(out.stderr, err)
		return exitStatus(exitUsage) // exitFailed means differences
	}
	fmt.Fprintf(out.stdout, "%d records compared, %d differences, %d skipped\n", result.Compared, result.Differences, result.Skipped)
	if result.Differences > 0 {
		return exitStatus(exitFailed)
	}
	if result.Compared == 0 {
		printFailure(out.stderr, errors.New("the capture has no records that can be compared"))
		return exitStatus(exitUsage)
	}
	return nil
}

// replayFile replays the capture in a file. It prints the differences to stdout and warnings to stderr.
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
