// Package docs has no code: its test holds the pages for on-call engineers to the code that they name.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// checkedPages are read at night: each name of code in them must lead somewhere. Pages with a date, such as incidents, keep
// the names of their time.
var checkedPages = []string{"on-call.md", "waits.md", "endings.md", "operations.md", "features.md", "grpc.md"}

var (
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	goFile     = regexp.MustCompile(`^[\w/]+\.go$`)
	identifier = regexp.MustCompile(`^(\w+\.)*([A-Z]\w*[a-z]\w*|[a-z]+[A-Z]\w*)$`) // Name, someName, package.Name, Type.Method
)

// source is what the repository's Go files declare and use.
type source struct {
	files map[string]bool // by name, and by path from the root
	names map[string]bool
}

// readSource reads all Go files of the repository.
func readSource(t *testing.T) source {
	t.Helper()
	s := source{files: map[string]bool{}, names: map[string]bool{}}
	root := ".."
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		s.files[filepath.ToSlash(relative)], s.files[entry.Name()] = true, true
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if name, ok := n.(*ast.Ident); ok {
				s.names[name.Name] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A page that names a function or a file that was renamed since sends whoever is on call to a place that is not there. It
// happened to waits.md and endings.md when the packages got their names.
func TestPagesNameCodeThatExists(t *testing.T) {
	source := readSource(t)
	for _, page := range checkedPages {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			checked := 0
			for number, line := range strings.Split(string(text), "\n") {
				for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
					if checkSpan(t, source, number+1, span[1]) {
						checked++
					}
				}
			}
			if checked == 0 {
				t.Error("the page names no code: is it still one to check?")
			}
		})
	}
}

// checkSpan checks one text in backticks, if it looks like a Go file or an identifier, and reports whether it does.
func checkSpan(t *testing.T, source source, line int, text string) bool {
	t.Helper()
	switch {
	case goFile.MatchString(text):
		if !source.files[text] {
			t.Errorf("line %d: there is no file %s", line, text)
		}
	case identifier.MatchString(text):
		parts := strings.Split(text, ".")
		if name := parts[len(parts)-1]; !source.names[name] {
			t.Errorf("line %d: no Go file has the name %s", line, text)
		}
	default:
		return false
	}
	return true
}
