package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reader reads the settings of one block and keeps the first error. End also returns an error for a setting or a nested
// block that the caller has never read, so that a misspelt name is noticed. A Reader must be used by one goroutine only.
type Reader struct {
	File       string
	Block      Block
	knownNames []string // settings that the caller has read
	knownKinds []string // kinds of nested blocks that the caller has read
	err        error
}

// NewReader returns a Reader for a block of a file.
func NewReader(file string, b Block) *Reader { return &Reader{File: file, Block: b} }

// Position returns the start of the block as FILE:LINE.
func (r *Reader) Position() string { return fmt.Sprintf("%s:%d", r.File, r.Block.Line) }

// Blocks returns a Reader for each nested block of one kind.
func (r *Reader) Blocks(kind string) (inner []*Reader) {
	r.knownKinds = append(r.knownKinds, kind)
	for _, b := range r.Block.Blocks {
		if b.Kind == kind {
			inner = append(inner, NewReader(r.File, b))
		}
	}
	return inner
}

// AddErrorAt records an error at a line, unless an earlier error is recorded.
func (r *Reader) AddErrorAt(line int, format string, args ...any) {
	if r.err == nil {
		r.err = ErrorAt(r.File, line, format, args...)
	}
}

// AddError records an error, such as that of a nested block, unless an earlier error is recorded.
func (r *Reader) AddError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// End returns the first error in the block, an *Error. A setting or nested block that was never read is an error.
func (r *Reader) End() error {
	if r.err != nil {
		return r.err
	}
	for _, b := range r.Block.Blocks {
		if slices.Contains(r.knownKinds, b.Kind) {
			continue
		}
		return ErrorAt(r.File, b.Line, "unknown block %s in block %s", b.Kind, r.Block.Kind)
	}
	for _, s := range r.Block.settings {
		if !slices.Contains(r.knownNames, s.name) {
			return ErrorAt(r.File, s.line, "unknown setting %s in block %s", s.name, r.Block.Kind)
		}
	}
	return nil
}

// Label returns the block's label. A missing label is an error.
func (r *Reader) Label() string {
	if !r.Block.HasLabel {
		r.AddErrorAt(r.Block.Line, "block %s needs a label", r.Block.Kind)
	}
	return r.Block.Label
}

// CheckSingle records an error if a block that may occur once, without a label, is repeated or has a label.
func (r *Reader) CheckSingle(repeated bool) {
	switch {
	case repeated:
		r.AddErrorAt(r.Block.Line, "block %s is already defined", r.Block.Kind)
	case r.Block.HasLabel:
		r.AddErrorAt(r.Block.Line, "block %s takes no label", r.Block.Kind)
	}
}

// LineOf returns the line of a setting. ok is false if the block does not have the setting.
func (r *Reader) LineOf(name string) (line int, ok bool) {
	for _, s := range r.Block.settings {
		if s.name == name {
			return s.line, true
		}
	}
	return 0, false
}

// get returns a setting of type T. kind names the type in error messages.
func get[T any](r *Reader, name, kind string) (v T, line int, ok bool) {
	r.knownNames = append(r.knownNames, name)
	for _, s := range r.Block.settings {
		if s.name != name {
			continue
		}
		if v, ok = s.value.(T); !ok {
			r.AddErrorAt(s.line, "%s must be %s", name, kind)
		}
		return v, s.line, ok
	}
	return v, 0, false
}

// Text returns a string setting.
func (r *Reader) Text(name, defaultValue string) string {
	if v, _, ok := get[string](r, name, "a string"); ok {
		return v
	}
	return defaultValue
}

// Texts returns a setting that is a list of strings.
func (r *Reader) Texts(name string) []string {
	list, _, _ := get[[]string](r, name, "a list of strings")
	return list
}

// OneOf returns a setting that must be one of the allowed strings; the default is the first.
func (r *Reader) OneOf(name string, allowed ...string) string {
	v := r.Text(name, allowed[0])
	if !slices.Contains(allowed, v) {
		line, _ := r.LineOf(name)
		r.AddErrorAt(line, "%s must be one of %s", name, strings.Join(allowed, ", "))
	}
	return v
}

// Prefixes returns a list of IPv4 and IPv6 ranges in CIDR notation. An IPv4-mapped IPv6 range becomes an IPv4 range,
// because the addresses of connections are unmapped before they are compared with it.
func (r *Reader) Prefixes(name string) (list []netip.Prefix) {
	texts, line, _ := get[[]string](r, name, "a list of strings")
	for _, text := range texts {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			r.AddErrorAt(line, "%s: %q is not a range such as 10.4.0.0/16", name, text)
			continue
		}
		if p != p.Masked() {
			r.AddErrorAt(line, "%s: %s has address bits beyond its prefix: want %s or a longer one", name, text, p.Masked())
		}
		if p.Addr().Is4In6() && p.Bits() >= mappedPrefixBits {
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedPrefixBits)
		}
		list = append(list, p)
	}
	return list
}

// mappedPrefixBits is the length of ::ffff:0:0/96, the prefix of IPv4-mapped IPv6 addresses (RFC 4291).
const mappedPrefixBits = 96

// Number returns a numeric setting and checks its bounds.
func (r *Reader) Number(name string, defaultValue, minimum, maximum float64) float64 {
	text, line, ok := get[number](r, name, "a number")
	if !ok {
		return defaultValue
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if errors.Is(err, strconv.ErrRange) || !(v >= minimum && v <= maximum) {
		r.AddErrorAt(line, "%s must be from %g to %g", name, minimum, maximum)
		return defaultValue
	}
	return v
}

// Integer returns an integer setting and checks its bounds.
func (r *Reader) Integer(name string, defaultValue, minimum, maximum int) int {
	v := r.Number(name, float64(defaultValue), float64(minimum), float64(maximum))
	if v != float64(int(v)) {
		line, _ := r.LineOf(name)
		r.AddErrorAt(line, "%s must be a whole number", name)
	}
	return int(v)
}

// Milliseconds returns a duration that is written as a number of milliseconds.
func (r *Reader) Milliseconds(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	inMS := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return time.Duration(r.Number(name, inMS(defaultValue), inMS(minimum), inMS(maximum)) * float64(time.Millisecond))
}

// Seconds returns a duration that is written as a number of seconds.
func (r *Reader) Seconds(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	return time.Duration(r.Number(name, defaultValue.Seconds(), minimum.Seconds(), maximum.Seconds()) * float64(time.Second))
}

// checkFolder records an error if the setting folder is present but empty.
func (r *Reader) checkFolder(folder string) {
	if line, ok := r.LineOf("folder"); ok && folder == "" {
		r.AddErrorAt(line, "folder must name a folder")
	}
}

// isHostPort reports whether a string is HOST:PORT and both parts are non-empty.
func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && port != ""
}

// isPrintable reports whether a string can be written into a header or a metric line without escaping.
func isPrintable(s string) bool {
	return s != "" && len(s) <= maxTextLength && s == strings.TrimSpace(s) &&
		!strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c > '~' })
}
