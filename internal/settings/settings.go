// Package settings reads the project's own settings file: blocks that switch features on. What the file does
// not name is off. Nothing in it is guessed: what is unknown, repeated, of another type or out of range is an
// *Error with the file and the line. The words of the file are the operators' (docs/features.md); here they are mapped
// to the terms of the code.
//
// A feature has a file with its type and its block (faultinjection.go, metrics.go, ...). blocks.go and tokens.go read
// the grammar, reader.go the settings of one block; the lab reads its scenarios with them.
package settings

import (
	"fmt"
	"os"
)

// File is a whole settings file.
type File struct {
	FaultInjections []FaultInjection
	Metrics         *Metrics    // nil: off
	AccessList      *AccessList // nil: off
	Capture         *Capture    // nil: off
	Peers           *Peers      // nil: off
	Sites           []Site
	ConfigWatch     *ConfigWatch // nil: off
}

// Bounds of what is read, so that a wrong path (a log, a device) can't fill the memory of a node.
const (
	maxFileSize   = 1 << 20 // bytes
	maxTextLength = 256     // bytes of a label, a name or a secret; they travel in headers and metric lines
)

// Load reads a settings file. Errors name the file; those of its content are *Error.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	if len(text) > maxFileSize {
		return File{}, fmt.Errorf("settings: %s is over %d bytes", path, maxFileSize)
	}
	f, err := Parse(path, text)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	return f, nil
}

// Parse reads the text of a settings file. Errors begin with its name and the line.
func Parse(name string, text []byte) (File, error) {
	blocks, err := ParseBlocks(name, text)
	if err != nil {
		return File{}, err
	}
	var f File
	for _, b := range blocks {
		r := NewReader(name, b)
		switch b.Kind {
		case "drill":
			f.readFaultInjection(r)
		case "figures":
			f.readMetrics(r)
		case "addresses":
			f.readAccessList(r)
		case "capture":
			f.readCapture(r)
		case "peers":
			f.readPeers(r)
		case "site":
			f.readSite(r)
		case "config_watch":
			f.readConfigWatch(r)
		default:
			return File{}, ErrorAt(name, b.Line, "unknown block %s", b.Kind)
		}
		if err := r.End(); err != nil {
			return File{}, err
		}
	}
	return f, f.checkSites()
}
