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

// deployFile, below the module's root, contains the build command for deployment.
const deployFile = "deploy/balancer.toml"

// settingsFile, below the module's root, is the settings file of a deployed node.
const settingsFile = "deploy/hookwalk.hcl"

// outputFolderCommand is the start of the build command, which creates the output folder of all programs. A rig omits
// it: it builds only the node, into another folder.
const outputFolderCommand = "mkdir -p bin && "

// Parts of deploy/balancer.toml: the line with the build command, and the command's output and package arguments.
var (
	buildCommand      = regexp.MustCompile(`(?m)^build = "(.*)"$`)
	outputAndPackages = regexp.MustCompile(`-o bin/ \./cmd/\.\.\.$`)
)

// ErrNoBuildCommand is returned if deploy/balancer.toml has no build command of the expected form.
var ErrNoBuildCommand = errors.New("scale: " + deployFile + " has no line build = \"... -o bin/ ./cmd/...\"; adapt BuildForService")

// BuildForService builds the node with the deployment's build command into a folder, and returns the program's path. root
// is the module's root folder.
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

// serviceBuild returns the build command from the text of deploy/balancer.toml, with program as its output.
func serviceBuild(text, program string) (string, error) {
	match := buildCommand.FindStringSubmatch(text)
	if match == nil || !outputAndPackages.MatchString(match[1]) {
		return "", ErrNoBuildCommand
	}
	command := strings.TrimPrefix(match[1], outputFolderCommand)
	return outputAndPackages.ReplaceAllLiteralString(command, "-o '"+program+"' ./cmd/hookwalk"), nil
}
