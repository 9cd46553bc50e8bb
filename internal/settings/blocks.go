package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/hashicorp/hcl/hcl/ast"
	"github.com/hashicorp/hcl/hcl/parser"
	"github.com/hashicorp/hcl/hcl/token"
)

// The grammar is HCL version 1, parsed by the library of that version. In HCL version 2 a setting ends with its line,
// so it can't parse blocks that operators write on one line. This package rejects what HCL accepts but an operator
// could overlook: stray commas, here-documents, numbers in hexadecimal or exponent notation, values assigned to a
// block, and settings outside of blocks.

// Block is a parsed block whose settings have not been interpreted yet.
type Block struct {
	Kind     string // the word at its start
	Label    string
	HasLabel bool
	Line     int // of its start, from 1
	settings []setting
	Blocks   []Block // nested, in the order of the file
}

// setting is one assignment in a block.
type setting struct {
	name  string
	line  int
	value any // string, number or []string
}

// number is the text of a number.
type number string

// Set replaces the value of a setting, or adds the setting. The lab's experiments use it to vary a scenario. Text that
// looks like a number is stored as a number.
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

// ParseBlocks parses all blocks of a file. Several settings may share a line. An error is one line of text and begins
// with the name of the file; except for invalid UTF-8 it is an *Error, which also has the line.
func ParseBlocks(file string, text []byte) ([]Block, error) {
	if !utf8.Valid(text) {
		return nil, fmt.Errorf("%s: not UTF-8", file)
	}
	if err := checkTokens(file, text); err != nil {
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
	w := treeWalker{file: file}
	b, err := w.body(list, 0)
	if err != nil {
		return nil, err
	}
	if len(b.settings) > 0 {
		return nil, ErrorAt(file, b.settings[0].line, "setting %s is outside of any block", b.settings[0].name)
	}
	return b.Blocks, nil
}

// oneLine joins the lines of an error message from the HCL library.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// treeWalker converts the parser's syntax tree into blocks.
type treeWalker struct{ file string }

// body converts the content of a block, between its braces.
func (w treeWalker) body(list *ast.ObjectList, line int) (Block, error) {
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
				return b, ErrorAt(w.file, at, "%s is already set in line %d", name, other.line)
			}
		}
		b.settings = append(b.settings, setting{name, at, v})
	}
	return b, nil
}

// block converts a nested block and its label.
func (w treeWalker) block(item *ast.ObjectItem, o *ast.ObjectType, name string, at int) (Block, error) {
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
			return b, ErrorAt(w.file, at, "block %s: the label must be a string", name)
		}
		b.HasLabel = true
		b.Label, err = w.quoted(item.Keys[1].Token)
	}
	return b, err
}

// name returns the text of a key that is a plain word. HCL also accepts a string or a dotted name, which this package
// rejects.
func (w treeWalker) name(k *ast.ObjectKey) (string, bool) {
	t := k.Token.Text
	ok := k.Token.Type == token.IDENT && t != "" && strings.Trim(t,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") == ""
	return t, ok
}

// value converts the value of a setting to a string, a number or a []string.
func (w treeWalker) value(n ast.Node) (any, error) {
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

// escapes maps the letter after a backslash to the character that the escape sequence represents.
var escapes = map[byte]byte{'"': '"', '\\': '\\', 'n': '\n', 't': '\t', 'r': '\r'}

// quoted unescapes a string. HCL's own function is not used because it interprets ${ } as an expression.
func (w treeWalker) quoted(t token.Token) (string, error) {
	if len(t.Text) < 2 || strings.Contains(t.Text, "\n") {
		return "", ErrorAt(w.file, t.Pos.Line, "unterminated string")
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
			return "", ErrorAt(w.file, t.Pos.Line, "unterminated string")
		}
		plain, ok := escapes[in[n]]
		if !ok {
			return "", ErrorAt(w.file, t.Pos.Line, "unknown escape \\%c in a string", in[n])
		}
		out.WriteByte(plain)
	}
	return out.String(), nil
}
