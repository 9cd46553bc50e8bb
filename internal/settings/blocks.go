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

// The grammar is that of HCL's first version, read by its own parser. Its second version ends a setting with
// its line, so it can't read the operators' blocks, which are printed on one line. What HCL accepts and an
// operator would not notice is an error here: stray commas, here-documents, numbers that are not plain, values
// for a block, settings outside of blocks.

// Block is a block as it is written, before its settings are given a meaning.
type Block struct {
	Kind     string // the word that begins it
	Label    string
	HasLabel bool
	Line     int // where it begins, from 1
	settings []setting
	Blocks   []Block // nested, in the order of the file
}

type setting struct {
	name  string
	line  int
	value any // string, number or []string
}

// number is a number as it is written.
type number string

// Set replaces the value of a setting, or adds the setting, as the lab's experiments do. A text that looks like a
// number becomes one.
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

// ParseBlocks reads all blocks of a file. Line breaks only separate: several settings may share a line. Errors are
// one line and begin with the file's name and, as an *Error, the line.
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
		return nil, ErrorAt(file, b.settings[0].line, "setting %s stands outside of any block", b.settings[0].name)
	}
	return b.Blocks, nil
}

// oneLine joins the lines of a library's error.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// treeWalker turns the parser's syntax tree into blocks.
type treeWalker struct{ file string }

// body reads what stands between the braces of a block.
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
				return b, ErrorAt(w.file, at, "%s is set again (first in line %d)", name, other.line)
			}
		}
		b.settings = append(b.settings, setting{name, at, v})
	}
	return b, nil
}

// block reads a nested block with its label.
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
			return b, ErrorAt(w.file, at, "block %s: a label is a string", name)
		}
		b.HasLabel = true
		b.Label, err = w.quoted(item.Keys[1].Token)
	}
	return b, err
}

// name reads a plain word; HCL would also accept a string or a dotted name.
func (w treeWalker) name(k *ast.ObjectKey) (string, bool) {
	t := k.Token.Text
	ok := k.Token.Type == token.IDENT && t != "" && strings.Trim(t,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") == ""
	return t, ok
}

// value reads the value of a setting: a string, a number or a []string.
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

// escapes maps the letter after a backslash to the character that is meant.
var escapes = map[byte]byte{'"': '"', '\\': '\\', 'n': '\n', 't': '\t', 'r': '\r'}

// quoted unescapes a string. HCL's own reading would take ${ } for an expression.
func (w treeWalker) quoted(t token.Token) (string, error) {
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
