package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"hookwalk.example/hookwalk/internal/capture"
)

type replayCommand struct {
	Capture string `required:"" placeholder:"FILE" help:"The capture."`
}

// Run plays a capture into the module of this build.
func (c replayCommand) Run(io streams) error {
	result, err := replayFile(c.Capture, io.stdout, io.stderr)
	if err != nil {
		failed(io.stderr, err)
		return exitStatus(exitUsage) // 1 is for differences
	}
	fmt.Fprintf(io.stdout, "%d records compared, %d differences, %d skipped\n", result.Compared, result.Differences, result.Skipped)
	if result.Differences > 0 {
		return exitStatus(exitFailed)
	}
	if result.Compared == 0 {
		failed(io.stderr, errors.New("nothing could be compared"))
		return exitStatus(exitUsage)
	}
	return nil
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
