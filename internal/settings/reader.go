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

// Reader reads the settings of one block and keeps the first error. A setting or a nested block that nobody has asked
// for by the time of End is an error too, so that a misspelt name is noticed. It belongs to one goroutine.
type Reader struct {
	File       string
	Block      Block
	knownNames []string // settings that were asked for
	knownKinds []string // kinds of nested blocks that were asked for
	err        error
}

// NewReader returns a Reader of a block of a file.
func NewReader(file string, b Block) *Reader { return &Reader{File: file, Block: b} }

// Position is where the block begins, as FILE:LINE.
func (r *Reader) Position() string { return fmt.Sprintf("%s:%d", r.File, r.Block.Line) }

// Blocks returns readers of the nested blocks of one kind.
func (r *Reader) Blocks(kind string) (inner []*Reader) {
	r.knownKinds = append(r.knownKinds, kind)
	for _, b := range r.Block.Blocks {
		if b.Kind == kind {
			inner = append(inner, NewReader(r.File, b))
		}
	}
	return inner
}

// AddErrorAt notes an error at a line, unless there is one already.
func (r *Reader) AddErrorAt(line int, format string, args ...any) {
	if r.err == nil {
		r.err = ErrorAt(r.File, line, format, args...)
	}
}

// AddError notes the error of a nested block, unless there is one already.
func (r *Reader) AddError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// End returns the first error of the block, an *Error; a setting that nobody asked for is one.
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

// Label returns the block's label, which must be there.
func (r *Reader) Label() string {
	if !r.Block.HasLabel {
		r.AddErrorAt(r.Block.Line, "block %s needs a label", r.Block.Kind)
	}
	return r.Block.Label
}

// CheckSingle notes an error if a block of which there may be one comes again, or has a label.
func (r *Reader) CheckSingle(again bool) {
	switch {
	case again:
		r.AddErrorAt(r.Block.Line, "block %s is there already", r.Block.Kind)
	case r.Block.HasLabel:
		r.AddErrorAt(r.Block.Line, "block %s has no label", r.Block.Kind)
	}
}

// LineOf returns the line of a setting, and whether it is there.
func (r *Reader) LineOf(name string) (line int, ok bool) {
	for _, s := range r.Block.settings {
		if s.name == name {
			return s.line, true
		}
	}
	return 0, false
}

// get finds a setting of type T; kind is the type in words, for the error.
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

// Text reads a string.
func (r *Reader) Text(name, defaultValue string) string {
	if v, _, ok := get[string](r, name, "a string"); ok {
		return v
	}
	return defaultValue
}

// Texts reads a list of strings.
func (r *Reader) Texts(name string) []string {
	list, _, _ := get[[]string](r, name, "a list of strings")
	return list
}

// OneOf reads one of the allowed texts, the first by default.
func (r *Reader) OneOf(name string, allowed ...string) string {
	v := r.Text(name, allowed[0])
	if !slices.Contains(allowed, v) {
		line, _ := r.LineOf(name)
		r.AddErrorAt(line, "%s must be one of %s", name, strings.Join(allowed, ", "))
	}
	return v
}

// Prefixes reads a list of IPv4 and IPv6 ranges in CIDR notation. An IPv4 range written as IPv6 becomes an IPv4 range,
// since connections are compared by their unmapped addresses.
func (r *Reader) Prefixes(name string) (list []netip.Prefix) {
	texts, line, _ := get[[]string](r, name, "a list of strings")
	for _, text := range texts {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			r.AddErrorAt(line, "%s: %q is not a range such as 10.4.0.0/16", name, text)
			continue
		}
		if p != p.Masked() {
			r.AddErrorAt(line, "%s: %s has address bits beyond its length: %s is meant, or a longer one", name, text, p.Masked())
		}
		if p.Addr().Is4In6() && p.Bits() >= mappedPrefixBits {
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedPrefixBits)
		}
		list = append(list, p)
	}
	return list
}

// mappedPrefixBits is the length of the prefix ::ffff:0:0/96, under which IPv6 has the IPv4 addresses (RFC 4291).
const mappedPrefixBits = 96

// Number reads a number within bounds.
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

// Integer reads a whole number within bounds.
func (r *Reader) Integer(name string, defaultValue, minimum, maximum int) int {
	v := r.Number(name, float64(defaultValue), float64(minimum), float64(maximum))
	if v != float64(int(v)) {
		line, _ := r.LineOf(name)
		r.AddErrorAt(line, "%s must be a whole number", name)
	}
	return int(v)
}

// Milliseconds reads a duration that is written as a number of milliseconds.
func (r *Reader) Milliseconds(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	inMS := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return time.Duration(r.Number(name, inMS(defaultValue), inMS(minimum), inMS(maximum)) * float64(time.Millisecond))
}

// Seconds reads a duration that is written as a number of seconds.
func (r *Reader) Seconds(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	return time.Duration(r.Number(name, defaultValue.Seconds(), minimum.Seconds(), maximum.Seconds()) * float64(time.Second))
}

// checkFolder notes an error if the setting folder is there and names none.
func (r *Reader) checkFolder(folder string) {
	if line, ok := r.LineOf("folder"); ok && folder == "" {
		r.AddErrorAt(line, "folder must name a folder")
	}
}

// isHostPort reports whether a text is HOST:PORT with both parts.
func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && port != ""
}

// isPrintable reports whether a text may stand in a header or a metric line as it is.
func isPrintable(s string) bool {
	return s != "" && len(s) <= maxTextLength && s == strings.TrimSpace(s) &&
		!strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c > '~' })
}
