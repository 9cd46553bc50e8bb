package fleet

import (
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/sockets"
)

// put writes a folder's files.
func put(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]string{}
	for _, e := range list {
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		found[e.Name()] = string(text)
	}
	return found
}

// What has become of a folder is what the scenario says, after whatever became of it before.
func TestWhatBecomesOfAFolder(t *testing.T) {
	mine := map[string]string{"mine.kept": "0123456789", "mine.none": ""}
	past := map[string]string{"mine.kept": "earlier"}
	other := map[string]string{"its.kept": "its own", "its.more": "more"}
	for _, how := range scenario.Folders {
		t.Run(how, func(t *testing.T) {
			root := t.TempDir()
			dir, before, beside := filepath.Join(root, "0"), filepath.Join(root, "past"), filepath.Join(root, "1")
			put(t, before, past)
			put(t, beside, other)
			if err := os.WriteFile(dir, nil, 0o600); err != nil { // as "unwritable" leaves it
				t.Fatal(err)
			}
			draws := model.Stream(1, "folders", 0)
			if err := change("kept", dir, before, beside, draws); err != nil {
				t.Fatal(err)
			}
			put(t, dir, mine)
			if err := change(how, dir, before, beside, draws); err != nil {
				t.Fatal(err)
			}
			if how == "unwritable" {
				if err := os.WriteFile(filepath.Join(dir, "x"), nil, 0o600); err == nil {
					t.Error("it can be written to")
				}
				return
			}
			got := contents(t, dir)
			want := map[string]map[string]string{"kept": mine, "full": mine, "emptied": {}, "old": past,
				"other": {"mine.kept": "its own", "mine.none": "", "its.more": "more"}}[how]
			if how == "cut" {
				if text := got["mine.kept"]; len(text) >= 10 || text != mine["mine.kept"][:len(text)] {
					t.Errorf("cut: %q", text)
				}
				return
			}
			if !maps.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
			if how == "old" {
				info, err := os.Stat(filepath.Join(dir, "mine.kept"))
				if err != nil || time.Since(info.ModTime()) < anHour {
					t.Errorf("%v, %v", info.ModTime(), err)
				}
			}
		})
	}
}

// A part that reads nothing holds up nobody, and is ended all the same.
func TestPartThatIsStopped(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	var ended error
	r := &rig{end: func(err error) { ended = err }}
	p := &part{r: r, name: "boxes", words: make(chan []byte, mostWords)}
	words, over := p.words, make(chan struct{})
	go func() {
		speak(write, words)
		close(over)
	}()
	for n := 0; ended == nil; n++ {
		if p.tell(message(n)); n > 10*mostWords {
			t.Fatal("it takes more words than it may")
		}
	}
	p.stop()
	read.Close() // as its process ends
	<-over
	p.tell(message(0)) // one that is gone needs none
}

// message is a line of some length.
func message(n int) (m sockets.Message) {
	m.Place = strconv.Itoa(n)
	return m
}
