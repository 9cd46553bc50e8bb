package settings

import (
	"strconv"

	"github.com/hashicorp/hcl/hcl/scanner"
	"github.com/hashicorp/hcl/hcl/token"
)

// scannerErrors replaces the scanner's messages by messages in the style of this package.
var scannerErrors = map[string]string{
	"comment not terminated": "unterminated comment",
	"literal not terminated": "unterminated string",
	"illegal char escape":    "unknown escape in a string",
}

// maxDepth limits the nesting of blocks and lists. The library's parser is recursive: without a limit a malicious file
// could exhaust the stack.
const maxDepth = 8

// maxQuoted limits how many characters of the file an error message quotes.
const maxQuoted = 20

// openBracket is a block or list that is not closed yet.
type openBracket struct {
	bracket token.Type // token.LBRACE for a block, token.LBRACK for a list
	line    int
	name    string // the word before it
}

// tokenChecker checks the token sequence of a file before the parser runs. It reports the line on which an unclosed
// block or list starts, and rejects commas that the parser would skip.
type tokenChecker struct {
	file     string
	open     []openBracket
	lastName string     // the last plain word
	last     token.Type // the previous token
	previous token.Type // the token before last
}

// checkTokens returns the first error in the tokens of a file.
func checkTokens(file string, text []byte) error {
	s := scanner.New(text)
	failure := ""
	s.Error = func(_ token.Pos, message string) {
		if failure == "" {
			failure = message
		}
	}
	c := tokenChecker{file: file, last: token.EOF, previous: token.EOF}
	for {
		t := s.Scan()
		line := max(t.Pos.Line, 1)
		if failure != "" {
			if reworded, ok := scannerErrors[failure]; ok {
				failure = reworded
			}
			return ErrorAt(file, line, "%s", oneLine(failure))
		}
		if t.Type == token.EOF {
			return c.end(line)
		}
		if t.Type == token.COMMENT {
			continue
		}
		if err := c.check(t, line); err != nil {
			return err
		}
		c.previous, c.last = c.last, t.Type
	}
}

// end returns an error if a block or list is incomplete at the end of the file.
func (c *tokenChecker) end(line int) error {
	if len(c.open) == 0 {
		if c.last == token.IDENT || c.last == token.STRING && c.previous == token.IDENT {
			return ErrorAt(c.file, line, "want '{' after the start of block %s, found the end of the file", c.lastName)
		}
		return nil
	}
	unclosed := c.open[len(c.open)-1]
	if unclosed.bracket == token.LBRACK {
		return ErrorAt(c.file, unclosed.line, "unterminated list: want , or ]")
	}
	return ErrorAt(c.file, unclosed.line, "block %s is not closed", unclosed.name)
}

// check returns an error if a token is not allowed at its position, and otherwise updates the state of the checker.
func (c *tokenChecker) check(t token.Token, line int) error {
	inList := len(c.open) > 0 && c.open[len(c.open)-1].bracket == token.LBRACK
	switch {
	case t.Type == token.ILLEGAL:
		return ErrorAt(c.file, line, "unexpected %s", strconv.Quote(t.Text))
	case t.Type == token.COMMA && !inList:
		return ErrorAt(c.file, line, "want a name, found \",\"")
	case t.Type == token.COMMA && c.last != token.STRING:
		return ErrorAt(c.file, line, "want a string in the list, found \",\"")
	case inList && t.Type != token.STRING && t.Type != token.COMMA && t.Type != token.RBRACK:
		return ErrorAt(c.file, line, "want a string in the list, found %s", strconv.Quote(clip(t.Text)))
	case t.Type == token.HEREDOC:
		return ErrorAt(c.file, line, "want a string, a number or a list, found a here-document")
	case t.Type == token.LBRACE || t.Type == token.LBRACK:
		c.open = append(c.open, openBracket{t.Type, line, c.lastName})
		if len(c.open) > maxDepth {
			return ErrorAt(c.file, line, "blocks and lists are nested more than %d levels deep", maxDepth)
		}
	case t.Type == token.RBRACE && c.last == token.ASSIGN:
		return ErrorAt(c.file, line, "want a string, a number or a list, found \"}\"")
	case t.Type == token.RBRACE || t.Type == token.RBRACK:
		if len(c.open) == 0 || (t.Type == token.RBRACE) == inList {
			return ErrorAt(c.file, line, "want a name, found %s", strconv.Quote(t.Text))
		}
		c.open = c.open[:len(c.open)-1]
	case t.Type == token.IDENT:
		if c.last == token.ASSIGN {
			return ErrorAt(c.file, line, "want a string, a number or a list, found %s", strconv.Quote(clip(t.Text)))
		}
		c.lastName = t.Text
	case c.last == token.IDENT && (t.Type == token.NUMBER || t.Type == token.FLOAT):
		return ErrorAt(c.file, line, "want '=' after %s, found %s", c.lastName, t.Text)
	}
	return nil
}

// clip shortens text of the file that an error message quotes.
func clip(s string) string {
	if r := []rune(s); len(r) > maxQuoted {
		return string(r[:maxQuoted]) + "..."
	}
	return s
}
