package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// deployFile, below the module's root, names the command of the build for service.
const deployFile = "deploy/balancer.toml"

// settingsFile, below the module's root, is the settings file of a node in service.
const settingsFile = "deploy/hookwalk.hcl"

// deployOutput begins that command: it makes the folder for all programs. A rig builds the node alone, into another one.
const deployOutput = "mkdir -p bin && "

// Parts of deploy/balancer.toml: the line of the command, and the end of the command that says what is built.
var (
	buildCommand  = regexp.MustCompile(`(?m)^build = "(.*)"$`)
	outputAndWhat = regexp.MustCompile(`-o bin/ \./cmd/\.\.\.$`)
)

// ErrNoBuildCommand is returned if deploy/balancer.toml has no build command of the form that is expected.
var ErrNoBuildCommand = errors.New("scale: " + deployFile + " has no line build = \"... -o bin/ ./cmd/...\"; adapt BuildForService")

// BuildForService builds the node as it is built for service, into a folder, and returns the program's path. root is
// the folder of the module.
func BuildForService(ctx context.Context, root, folder string) (program string, err error) {
	text, err := os.ReadFile(filepath.Join(root, deployFile))
	if err != nil {
		return "", fmt.Errorf("scale: build for service: %w", err)
	}
	program = filepath.Join(folder, "hookwalk")
	command, err := serviceBuild(string(text), program)
	if err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "sh", "-c", command)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("scale: %s: %w: %s", command, err, out)
	}
	return program, nil
}

// serviceBuild is the command in the text of deploy/balancer.toml, with another output.
func serviceBuild(text, program string) (string, error) {
	match := buildCommand.FindStringSubmatch(text)
	if match == nil || !outputAndWhat.MatchString(match[1]) {
		return "", ErrNoBuildCommand
	}
	command := strings.TrimPrefix(match[1], deployOutput)
	return outputAndWhat.ReplaceAllLiteralString(command, "-o '"+program+"' ./cmd/hookwalk"), nil
}
