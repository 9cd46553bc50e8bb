package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/hashicorp/hcl/hcl/ast"
	"github.com/hashicorp/hcl/hcl/parser"
	"github.com/hashicorp/hcl/hcl/scanner"
	"github.com/hashicorp/hcl/hcl/token"
)

// The grammar is that of HCL's first version, read by its own parser. Its second version ends a setting with
// its line, so it can't read the operators' blocks, which are printed on one. What HCL would let pass and a
// reader would not notice is refused here: stray commas, here-documents, numbers that are not plain, values
// for a block, settings outside of blocks.

// Block is a block as it is written, before its settings are given a meaning.
type Block struct {
	Kind, Label string
	HasLabel    bool
	Line        int
	settings    []setting
	Blocks      []Block // inside it
}

type setting struct {
	name  string
	line  int
	value any // string, number or []string
}

// number is a number as it is written.
type number string

// Set gives a setting of the block another value, as an experiment does. What looks like a number is one.
func (b *Block) Set(name, text string) {
	var value any = text
	if _, err := strconv.ParseFloat(text, 64); err == nil && strings.Trim(text, "0123456789.-") == "" {
		value = number(text)
	}
	for i := range b.settings {
		if b.settings[i].name == name {
			b.settings[i].value = value
			return
		}
	}
	b.settings = append(b.settings, setting{name, b.Line, value})
}

// ErrorAt is an error at a line of a file.
func ErrorAt(file string, line int, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %w", file, line, fmt.Errorf(format, args...))
}

// ParseBlocks reads all blocks of a file. White space, line breaks among it, only separates: several settings
// may share a line. Errors are one line and begin with the file's name and the line.
func ParseBlocks(file string, text []byte) ([]Block, error) {
	if !utf8.Valid(text) {
		return nil, fmt.Errorf("%s: not UTF-8", file)
	}
	if err := scan(file, text); err != nil {
		return nil, err
	}
	f, err := parser.Parse(text)
	if err != nil {
		var at *parser.PosError
		if errors.As(err, &at) {
			return nil, ErrorAt(file, max(at.Pos.Line, 1), "%s", oneLine(at.Err.Error()))
		}
		return nil, ErrorAt(file, 1, "%s", oneLine(err.Error()))
	}
	list, ok := f.Node.(*ast.ObjectList)
	if !ok {
		return nil, ErrorAt(file, 1, "not a list of blocks")
	}
	w := walker{file: file}
	b, err := w.body(list, 0)
	if err != nil {
		return nil, err
	}
	if len(b.settings) > 0 {
		return nil, ErrorAt(file, b.settings[0].line, "setting %s stands outside of any block", b.settings[0].name)
	}
	return b.Blocks, nil
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// scannerSays words the scanner's own faults as the rest of the file's.
var scannerSays = map[string]string{
	"comment not terminated": "comment without an end",
	"literal not terminated": "string without an end",
	"illegal char escape":    "unknown escape in a string",
}

const maxDepth = 8 // blocks and lists inside each other

// scan looks at the words alone: it names the place where something begins that has no end, and refuses the
// commas that the parser would pass over. It bounds the depth, for the parser calls itself.
func scan(file string, text []byte) error {
	s := scanner.New(text)
	said := ""
	s.Error = func(_ token.Pos, msg string) {
		if said == "" {
			said = msg
		}
	}
	type open struct {
		is   token.Type
		line int
		what string
	}
	var stack []open
	word, last, before := "", token.EOF, token.EOF
	for {
		t := s.Scan()
		line := max(t.Pos.Line, 1)
		inList := len(stack) > 0 && stack[len(stack)-1].is == token.LBRACK
		switch {
		case said != "":
			if plain, ok := scannerSays[said]; ok {
				said = plain
			}
			return ErrorAt(file, line, "%s", oneLine(said))
		case t.Type == token.ILLEGAL:
			return ErrorAt(file, line, "unexpected %s", strconv.Quote(t.Text))
		case t.Type == token.EOF:
			if len(stack) == 0 && (last == token.IDENT || last == token.STRING && before == token.IDENT) {
				return ErrorAt(file, line, "want '{' after the start of block %s, found the end of the file", word)
			}
			if len(stack) == 0 {
				return nil
			}
			o := stack[len(stack)-1]
			if o.is == token.LBRACK {
				return ErrorAt(file, o.line, "list without an end: want , or ]")
			}
			return ErrorAt(file, o.line, "block %s has no end", o.what)
		case t.Type == token.COMMENT:
			continue
		case t.Type == token.COMMA && !inList:
			return ErrorAt(file, line, "want a name, found \",\"")
		case t.Type == token.COMMA && last != token.STRING:
			return ErrorAt(file, line, "want a string in the list, found \",\"")
		case inList && t.Type != token.STRING && t.Type != token.COMMA && t.Type != token.RBRACK:
			return ErrorAt(file, line, "want a string in the list, found %s", strconv.Quote(clip(t.Text)))
		case t.Type == token.HEREDOC:
			return ErrorAt(file, line, "want a string, a number or a list, found a here-document")
		case t.Type == token.LBRACE || t.Type == token.LBRACK:
			stack = append(stack, open{t.Type, line, word})
			if len(stack) > maxDepth {
				return ErrorAt(file, line, "blocks stand more than %d deep", maxDepth)
			}
		case t.Type == token.RBRACE && last == token.ASSIGN:
			return ErrorAt(file, line, "want a string, a number or a list, found \"}\"")
		case t.Type == token.RBRACE || t.Type == token.RBRACK:
			if len(stack) == 0 || (t.Type == token.RBRACE) == inList {
				return ErrorAt(file, line, "want a name, found %s", strconv.Quote(t.Text))
			}
			stack = stack[:len(stack)-1]
		case t.Type == token.IDENT:
			if last == token.ASSIGN {
				return ErrorAt(file, line, "want a string, a number or a list, found %s", strconv.Quote(clip(t.Text)))
			}
			word = t.Text
		case last == token.IDENT && (t.Type == token.NUMBER || t.Type == token.FLOAT):
			return ErrorAt(file, line, "want '=' after %s, found %s", word, t.Text)
		}
		before, last = last, t.Type
	}
}

func clip(s string) string {
	if r := []rune(s); len(r) > 20 {
		return string(r[:20]) + "..."
	}
	return s
}

// walker turns the parser's tree into blocks.
type walker struct{ file string }

func (w walker) body(list *ast.ObjectList, line int) (Block, error) {
	b := Block{Line: line}
	for _, item := range list.Items {
		at := item.Pos().Line
		name, ok := w.name(item.Keys[0])
		if !ok {
			return b, ErrorAt(w.file, at, "want a name, found %s", clip(item.Keys[0].Token.Text))
		}
		if o, ok := item.Val.(*ast.ObjectType); ok {
			inner, err := w.block(item, o, name, at)
			if err != nil {
				return b, err
			}
			b.Blocks = append(b.Blocks, inner)
			continue
		}
		if len(item.Keys) != 1 {
			return b, ErrorAt(w.file, at, "want '=' after %s", name)
		}
		v, err := w.value(item.Val)
		if err != nil {
			return b, err
		}
		for _, other := range b.settings {
			if other.name == name {
				return b, ErrorAt(w.file, at, "%s is set again (first in line %d)", name, other.line)
			}
		}
		b.settings = append(b.settings, setting{name, at, v})
	}
	return b, nil
}

func (w walker) block(item *ast.ObjectItem, o *ast.ObjectType, name string, at int) (Block, error) {
	if item.Assign.IsValid() {
		return Block{}, ErrorAt(w.file, at, "block %s takes no '='", name)
	}
	if len(item.Keys) > 2 {
		return Block{}, ErrorAt(w.file, at, "block %s has more than one label", name)
	}
	b, err := w.body(o.List, at)
	if err != nil {
		return b, err
	}
	b.Kind = name
	if len(item.Keys) == 2 {
		if item.Keys[1].Token.Type != token.STRING {
			return b, ErrorAt(w.file, at, "block %s: a label is a string", name)
		}
		b.HasLabel = true
		b.Label, err = w.quoted(item.Keys[1].Token)
	}
	return b, err
}

// name is a plain word; HCL would also take a string or a dotted one.
func (w walker) name(k *ast.ObjectKey) (string, bool) {
	t := k.Token.Text
	ok := k.Token.Type == token.IDENT && t != "" && strings.Trim(t,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") == ""
	return t, ok
}

func (w walker) value(n ast.Node) (any, error) {
	switch v := n.(type) {
	case *ast.LiteralType:
		switch t := v.Token; {
		case t.Type == token.STRING:
			return w.quoted(t)
		case (t.Type == token.NUMBER || t.Type == token.FLOAT) && strings.Trim(t.Text, "0123456789.-") == "":
			if _, err := strconv.ParseFloat(t.Text, 64); err == nil || errors.Is(err, strconv.ErrRange) {
				return number(t.Text), nil
			}
		}
		return nil, ErrorAt(w.file, v.Pos().Line, "want a string, a number or a list, found %s", strconv.Quote(clip(v.Token.Text)))
	case *ast.ListType:
		list := []string{}
		for _, e := range v.List {
			l, ok := e.(*ast.LiteralType)
			if !ok || l.Token.Type != token.STRING {
				return nil, ErrorAt(w.file, e.Pos().Line, "want a string in the list")
			}
			text, err := w.quoted(l.Token)
			if err != nil {
				return nil, err
			}
			list = append(list, text)
		}
		return list, nil
	}
	return nil, ErrorAt(w.file, n.Pos().Line, "want a string, a number or a list")
}

var escapes = map[byte]byte{'"': '"', '\\': '\\', 'n': '\n', 't': '\t', 'r': '\r'}

// quoted reads a string. HCL's own reading would take what stands in ${ } for an expression.
func (w walker) quoted(t token.Token) (string, error) {
	if len(t.Text) < 2 || strings.Contains(t.Text, "\n") {
		return "", ErrorAt(w.file, t.Pos.Line, "string without an end")
	}
	in := t.Text[1 : len(t.Text)-1]
	var out strings.Builder
	for n := 0; n < len(in); n++ {
		if in[n] != '\\' {
			out.WriteByte(in[n])
			continue
		}
		n++
		if n == len(in) {
			return "", ErrorAt(w.file, t.Pos.Line, "string without an end")
		}
		plain, ok := escapes[in[n]]
		if !ok {
			return "", ErrorAt(w.file, t.Pos.Line, "unknown escape \\%c in a string", in[n])
		}
		out.WriteByte(plain)
	}
	return out.String(), nil
}
