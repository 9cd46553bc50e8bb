package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hookwalk.example/hookwalk/internal/settings"
)

// maxFileSize is the maximum size of a scenario file in bytes. A larger file is not a scenario but a mistake.
const maxFileSize = 1 << 20

// defaultTenant is the only tenant of a file that defines no tenant.
const defaultTenant = "benchland"

// blockOrder is the order in which blocks are read. Faults refer to tiers and classes, so they are read last.
var blockOrder = []string{"scenario", "tier", "class", "tenant", "clients", "front", "discovery", "net", "rules", "fleet", "trouble"}

// singleBlocks are the blocks that may occur at most once. A missing one takes its defaults.
var singleBlocks = []string{"clients", "front", "discovery", "net", "rules", "fleet"}

// requiredBlocks are the blocks that every scenario must have.
var requiredBlocks = []string{"scenario", "tier", "class"}

// blocksByKind maps a kind of block to the readers of the file's blocks of this kind.
type blocksByKind map[string][]*settings.Reader

// Override replaces the value of a setting. Path is "block.setting", such as "clients.rate", or "block.label.setting"
// for blocks with labels, such as "class.bin-weighin.share".
type Override struct{ Path, Value string }

// Load reads a scenario file.
func Load(path string, overrides ...Override) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("scenario: %s is larger than %d bytes", path, maxFileSize)
	}
	s, err := Parse(path, text, os.ReadFile, overrides...)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, nil
}

// Parse parses the text of a scenario file. Errors begin with the file's name and the line. If the file names a base
// file, read returns the text of the base. Block kinds that the file does not have are inherited from the base, except
// for faults.
func Parse(name string, text []byte, read func(path string) ([]byte, error), overrides ...Override) (*Scenario, error) {
	blocks, err := groupBlocks(name, text)
	if err != nil {
		return nil, err
	}
	if err := blocks.applyBase(name, read); err != nil {
		return nil, err
	}
	for _, o := range overrides {
		if err := o.apply(name, blocks); err != nil {
			return nil, err
		}
	}
	for _, kind := range singleBlocks {
		blocks.addIfMissing(name, kind)
	}
	return blocks.scenario(name)
}

// scenario reads the settings of all blocks.
func (blocks blocksByKind) scenario(name string) (*Scenario, error) {
	s := &Scenario{}
	readers := map[string]func(block *settings.Reader, repeated bool){"scenario": s.readHeader, "tier": s.readTier,
		"class": s.readClass, "tenant": s.readTenant, "clients": s.readClients, "front": s.readIngress,
		"discovery": s.readDiscovery, "net": s.readNetwork, "rules": s.readRules, "fleet": s.readFleet, "trouble": s.readFault}
	for _, kind := range blockOrder {
		for i, block := range blocks[kind] {
			readers[kind](block, i > 0)
			if err := block.End(); err != nil {
				return nil, err
			}
		}
	}
	for _, kind := range requiredBlocks {
		if len(blocks[kind]) == 0 {
			return nil, settings.ErrorAt(name, 1, "no block %s", kind)
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: defaultTenant, Share: 1}}
	}
	return s, nil
}

// addIfMissing adds an empty block if the file has no block of the kind.
func (blocks blocksByKind) addIfMissing(name, kind string) {
	if len(blocks[kind]) == 0 {
		blocks[kind] = []*settings.Reader{settings.NewReader(name, settings.Block{Kind: kind, Line: 1})}
	}
}

// groupBlocks parses a file's blocks and groups them by kind.
func groupBlocks(name string, text []byte) (blocksByKind, error) {
	list, err := settings.ParseBlocks(name, text)
	if err != nil {
		return nil, err
	}
	blocks := blocksByKind{}
	for _, b := range list {
		if !slices.Contains(blockOrder, b.Kind) {
			return nil, settings.ErrorAt(name, b.Line, "unknown block %s", b.Kind)
		}
		blocks[b.Kind] = append(blocks[b.Kind], settings.NewReader(name, b))
	}
	return blocks, nil
}

// applyBase adds the base file's blocks of each kind that the file itself does not have. It does nothing if the file
// names no base.
func (blocks blocksByKind) applyBase(name string, read func(string) ([]byte, error)) error {
	if len(blocks["scenario"]) == 0 {
		return nil
	}
	header := blocks["scenario"][0]
	base := header.Text("base", "")
	line, named := header.LineOf("base")
	if !named {
		return nil
	}
	if base != filepath.Base(base) {
		return settings.ErrorAt(name, line, "base must name a file in the same folder")
	}
	path := filepath.Join(filepath.Dir(name), base)
	text, err := read(path)
	if err != nil {
		return settings.ErrorAt(name, line, "base: %w", err)
	}
	inherited, err := groupBlocks(path, text)
	if err != nil {
		return err
	}
	if headers := inherited["scenario"]; len(headers) > 0 {
		if at, named := headers[0].LineOf("base"); named {
			return settings.ErrorAt(path, at, "a base file must not name another base")
		}
	}
	for _, kind := range blockOrder {
		if kind != "scenario" && kind != "trouble" && len(blocks[kind]) == 0 {
			blocks[kind] = inherited[kind]
		}
	}
	return nil
}

// apply sets the value in every block that matches the path. A missing block of singleBlocks is added.
func (o Override) apply(name string, blocks blocksByKind) error {
	parts := strings.Split(o.Path, ".")
	if len(parts) < 2 || len(parts) > 3 {
		return fmt.Errorf("invalid setting path %q: want block.setting or block.label.setting", o.Path)
	}
	kind, setting := parts[0], parts[len(parts)-1]
	if slices.Contains(singleBlocks, kind) {
		blocks.addIfMissing(name, kind)
	}
	found := false
	setIn := func(b *settings.Block) {
		if b.Kind == kind && (len(parts) == 2 || b.Label == parts[1]) {
			b.Set(setting, o.Value)
			found = true
		}
	}
	for _, readers := range blocks {
		for _, r := range readers {
			setIn(&r.Block)
			for i := range r.Block.Blocks {
				setIn(&r.Block.Blocks[i])
			}
		}
	}
	if !found {
		return fmt.Errorf("%s: %s has no such block", o.Path, name)
	}
	return nil
}
