package configwatch

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

func storedVersion(n int) configversion.LastKnownGood {
	return configversion.LastKnownGood{Cluster: "x", Version: configapi.Version(n), Config: &configapi.ServiceConfig{Settings: json.RawMessage(`{"a":1}`)},
		Controllers: []configapi.ControllerAddress{{Address: "a:1", Region: "r", Zone: "z"}}}
}

func newTestStore(folder string) *Store {
	return NewStore(folder, "n/0", slog.New(slog.DiscardHandler))
}

// saveAndFlush saves a version and waits until it is on disk.
func saveAndFlush(s *Store, version configversion.LastKnownGood) {
	s.Save(version)
	s.flush(time.Minute)
}

// A process stores a version, and the next one reads it. A process that is about to end must not overwrite a newer
// version. Each node has a separate file.
func TestStoreSavesAndReads(t *testing.T) {
	folder := t.TempDir()
	s := newTestStore(folder)
	if saved, err := s.Read(); err != nil || saved.Version != 0 {
		t.Errorf("without a file: %+v, %v", saved, err)
	}
	saveAndFlush(s, storedVersion(3))
	saved, err := newTestStore(folder).Read()
	if err != nil || !reflect.DeepEqual(saved, storedVersion(3)) {
		t.Errorf("read %+v, %v", saved, err)
	}
	saveAndFlush(newTestStore(folder), storedVersion(2)) // saved by the previous process
	if saved, _ := s.Read(); saved.Version != 3 {
		t.Errorf("the older version %d replaced a newer one", saved.Version)
	}
	if _, err := NewStore(folder, "n/1", slog.New(slog.DiscardHandler)).Read(); err != nil {
		t.Errorf("reading another node's version: %v", err)
	}
}

// Many versions are saved in quick succession. They are written one at a time, and the file finally contains the
// newest.
func TestStoreWritesNewestVersion(t *testing.T) {
	s := newTestStore(t.TempDir())
	for n := range 200 {
		s.Save(storedVersion(n + 1))
	}
	s.flush(time.Minute)
	if saved, err := s.Read(); err != nil || saved.Version != 200 {
		t.Errorf("read %d, %v", saved.Version, err)
	}
}

// A crash or a disk fault damages the file. The previous version is read. If that is damaged, too, none is read, and
// the error tells the operator what to check.
func TestStoreReadsDamagedFiles(t *testing.T) {
	for name, c := range map[string]struct {
		damage    func(path string)
		want      configapi.Version
		wantError bool
	}{
		"truncated": {func(path string) { os.Truncate(path, 10) }, 1, false},
		"empty":     {func(path string) { os.Truncate(path, 0) }, 1, false},
		"gone":      {func(path string) { os.Remove(path) }, 1, false},
		"both truncated": {func(path string) {
			os.Truncate(path, 10)
			os.Truncate(path+".before", 10)
		}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := newTestStore(folder)
			saveAndFlush(s, storedVersion(1))
			saveAndFlush(s, storedVersion(2))
			c.damage(s.path)
			saved, err := newTestStore(folder).Read()
			if saved.Version != c.want || (err != nil) != c.wantError {
				t.Errorf("read %d, %v", saved.Version, err)
			}
			var storeError *StoreError
			if c.wantError && (!errors.As(err, &storeError) || !strings.Contains(err.Error(), "check the folder's disk")) {
				t.Errorf("the error is %v", err)
			}
		})
	}
}

// The folder cannot be written. The store logs this, and does not block.
func TestStoreLogsUnwritableFolder(t *testing.T) {
	var logged lockedBuilder
	s := NewStore(filepath.Join(t.TempDir(), "not", "there"), "n", slog.New(slog.NewTextHandler(&logged, nil)))
	saveAndFlush(s, storedVersion(1))
	if !strings.Contains(logged.String(), "configuration version not stored") {
		t.Errorf("logged %q", logged.String())
	}
}

// lockedBuilder is a strings.Builder for concurrent use.
type lockedBuilder struct {
	lock sync.Mutex
	text strings.Builder
}

func (b *lockedBuilder) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuilder) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}
