// Package settings parses the settings file of a node, whose blocks enable features. A feature without a block is
// off. The parser makes no guesses: a setting that is unknown, repeated, of the wrong type or out of range is an *Error
// with the file and the line. The names in the file are those that operators know (docs/features.md); this package maps
// them to the terms of the code.
//
// Each feature has a file with its type and the code that reads its block (faultinjection.go, metrics.go, ...).
// blocks.go and tokens.go parse the grammar, and reader.go reads the settings of one block. The lab parses its scenario
// files with the same code.
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

// Limits on the input, so that a wrong path (a log, a device) can't fill the memory of a node.
const (
	maxFileSize   = 1 << 20 // bytes
	maxTextLength = 256     // bytes of a label, a name or a secret; these are sent in headers and metric lines
)

// Load reads and parses a settings file. Errors name the file; an error in its content is an *Error.
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

// Parse parses the text of a settings file. Errors begin with the name of the file and the line.
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
