package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// block is a block as it is written, before its settings are given a meaning.
type block struct {
	kind, label string
	hasLabel    bool
	line        int
	settings    []setting
}

type setting struct {
	name  string
	line  int
	value any // string, number or []string
}

// number is a number as it is written.
type number string

// scanner reads the text of a file from the front.
type scanner struct {
	file string
	text string // what is left of it
	line int
}

// fault is an error at a line of the file.
func fault(file string, line int, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %w", file, line, fmt.Errorf(format, args...))
}

func (s *scanner) fail(format string, args ...any) error {
	return fault(s.file, s.line, format, args...)
}

// parse reads all blocks. White space, line breaks among it, only separates: several settings may share a line.
func parse(file string, text []byte) ([]block, error) {
	s := &scanner{file: file, text: string(text), line: 1}
	if !utf8.Valid(text) {
		return nil, fmt.Errorf("%s: not UTF-8", file)
	}
	var blocks []block
	for {
		if err := s.space(); err != nil {
			return nil, err
		}
		if s.text == "" {
			return blocks, nil
		}
		b, err := s.block()
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, b)
	}
}

// space skips white space and comments.
func (s *scanner) space() error {
	for s.text != "" {
		switch {
		case strings.ContainsRune(" \t\r\n", rune(s.text[0])):
			s.skip(1)
		case s.text[0] == '#' || strings.HasPrefix(s.text, "//"):
			end := strings.IndexByte(s.text, '\n')
			if end < 0 {
				end = len(s.text)
			}
			s.skip(end)
		case strings.HasPrefix(s.text, "/*"):
			end := strings.Index(s.text[2:], "*/")
			if end < 0 {
				return s.fail("comment without an end")
			}
			s.skip(end + 4)
		default:
			return nil
		}
	}
	return nil
}

func (s *scanner) skip(n int) {
	s.line += strings.Count(s.text[:n], "\n")
	s.text = s.text[n:]
}

// take skips white space and then one character, which must be the one given.
func (s *scanner) take(c byte, after string) error {
	if err := s.space(); err != nil {
		return err
	}
	if !s.at(c) {
		return s.fail("want %q after %s, found %s", c, after, s.found())
	}
	s.skip(1)
	return nil
}

func (s *scanner) at(c byte) bool { return s.text != "" && s.text[0] == c }

// found describes what stands next, for an error.
func (s *scanner) found() string {
	if s.text == "" {
		return "the end of the file"
	}
	word := strings.Fields(s.text)
	if len(word) == 0 {
		return "white space"
	}
	if runes := []rune(word[0]); len(runes) > 20 {
		return strconv.Quote(string(runes[:20]) + "...")
	}
	return strconv.Quote(word[0])
}

func (s *scanner) block() (block, error) {
	b := block{line: s.line}
	var err error
	if b.kind, err = s.name(); err != nil {
		return b, err
	}
	if err := s.space(); err != nil {
		return b, err
	}
	if s.at('"') {
		b.hasLabel = true
		if b.label, err = s.quoted(); err != nil {
			return b, err
		}
	}
	if err := s.take('{', "the start of block "+b.kind); err != nil {
		return b, err
	}
	for {
		if err := s.space(); err != nil {
			return b, err
		}
		if s.at('}') {
			s.skip(1)
			return b, nil
		}
		if s.text == "" {
			return b, fault(s.file, b.line, "block %s has no end", b.kind)
		}
		set, err := s.setting()
		if err != nil {
			return b, err
		}
		for _, other := range b.settings {
			if other.name == set.name {
				return b, fault(s.file, set.line, "%s is set again (first in line %d)", set.name, other.line)
			}
		}
		b.settings = append(b.settings, set)
	}
}

func (s *scanner) setting() (set setting, err error) {
	set.line = s.line
	if set.name, err = s.name(); err != nil {
		return set, err
	}
	if err := s.take('=', set.name); err != nil {
		return set, err
	}
	if err := s.space(); err != nil {
		return set, err
	}
	set.value, err = s.value()
	return set, err
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }
func isDigit(c byte) bool  { return c >= '0' && c <= '9' }

func (s *scanner) name() (string, error) {
	n := 0
	for n < len(s.text) && (isLetter(s.text[n]) || n > 0 && (isDigit(s.text[n]) || s.text[n] == '-')) {
		n++
	}
	if n == 0 {
		return "", s.fail("want a name, found %s", s.found())
	}
	name := s.text[:n]
	s.skip(n)
	return name, nil
}

func (s *scanner) value() (any, error) {
	switch {
	case s.at('"'):
		return s.quoted()
	case s.at('['):
		return s.list()
	}
	n := 0
	for n < len(s.text) && (isDigit(s.text[n]) || isLetter(s.text[n]) || strings.IndexByte("+-.", s.text[n]) >= 0) {
		n++
	}
	if _, err := strconv.ParseFloat(s.text[:n], 64); n == 0 || strings.Trim(s.text[:n], "0123456789.-") != "" ||
		err != nil && !errors.Is(err, strconv.ErrRange) {
		return nil, s.fail("want a string, a number or a list, found %s", s.found())
	}
	v := number(s.text[:n])
	s.skip(n)
	return v, nil
}

// list reads strings in brackets; a comma may follow the last.
func (s *scanner) list() ([]string, error) {
	s.skip(1)
	list := []string{}
	for {
		if err := s.space(); err != nil {
			return nil, err
		}
		if s.at(']') {
			s.skip(1)
			return list, nil
		}
		if len(list) > 0 && !s.at('"') {
			return nil, s.fail("want a string in the list, found %s", s.found())
		}
		text, err := s.quoted()
		if err != nil {
			return nil, err
		}
		list = append(list, text)
		if err := s.space(); err != nil {
			return nil, err
		}
		if s.at(',') {
			s.skip(1)
		} else if !s.at(']') {
			return nil, s.fail("want , or ] in a list, found %s", s.found())
		}
	}
}

var escapes = map[byte]byte{'"': '"', '\\': '\\', 'n': '\n', 't': '\t', 'r': '\r'}

// quoted reads a string, which ends in the line in which it begins.
func (s *scanner) quoted() (string, error) {
	if !s.at('"') {
		return "", s.fail("want a string, found %s", s.found())
	}
	var out strings.Builder
	for n := 1; n < len(s.text) && s.text[n] != '\n'; n++ {
		switch c := s.text[n]; c {
		case '"':
			s.skip(n + 1)
			return out.String(), nil
		case '\\':
			n++
			if n == len(s.text) {
				return "", s.fail("string without an end")
			}
			plain, ok := escapes[s.text[n]]
			if !ok {
				return "", s.fail("unknown escape \\%c in a string", s.text[n])
			}
			out.WriteByte(plain)
		default:
			out.WriteByte(c)
		}
	}
	return "", s.fail("string without an end")
}
