package capture

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/settings"
)

// folderNames returns the paths of the capture files in a folder.
func folderNames(t *testing.T, dir string) (names []string) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "capture-000[1-8].hwc"))
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// A capture rotates through its folder more than once, so the oldest files are overwritten. Each remaining file can still be
// replayed alone, because it begins with a head.
func TestEachFileReplaysAlone(t *testing.T) {
	dir := t.TempDir()
	set := settings.Capture{Folder: dir, FileBytes: 64 << 10}
	c := newWorkload(t, set, 1).run(6000)
	c.Close()
	names := folderNames(t, dir)
	if len(names) != filesPerFolder || c.seq < 3000 {
		t.Fatalf("%d files of %d records", len(names), c.seq)
	}
	compared := 0
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > set.FileBytes {
			t.Errorf("%s holds %d bytes", name, len(text))
		}
		res, differences, warned, err := replayText(t, name, text)
		if err != nil || differences != "" || warned != "" || res.Differences != 0 || res.Compared == 0 {
			t.Errorf("%s: %+v, %v, differences %q, warned %q", name, res, err, differences, warned)
		}
		compared += res.Compared
	}
	if compared >= int(c.seq) {
		t.Error("nothing was overwritten")
	}
}

// A node that restarts continues after the newest file. If it started with the first file, it would overwrite the records
// from just before the restart, which are needed to investigate it.
func TestRestartContinuesAfterTheNewestFile(t *testing.T) {
	dir := t.TempDir()
	set := settings.Capture{Folder: dir, FileBytes: 64 << 10}
	for i := range 10 {
		newWorkload(t, set, uint64(i)).run(20).Close()
		if got := len(folderNames(t, dir)); got != min(i+1, filesPerFolder) {
			t.Fatalf("start %d: %d files", i, got)
		}
	}
	if d := openFolder(dir, set.FileBytes); d.nextFile != 2 {
		t.Errorf("after ten starts the next file is %d, want the third", d.nextFile+1)
	}
	// A file without a readable head is ordered by its modification time.
	if err := os.WriteFile(fileName(dir, 6), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Hour)
	if err := os.Chtimes(fileName(dir, 6), later, later); err != nil {
		t.Fatal(err)
	}
	if d := openFolder(dir, set.FileBytes); d.nextFile != 7 {
		t.Errorf("after a broken seventh file the next is %d", d.nextFile+1)
	}
}

// The folder of a capture is missing, is created later, and then a write fails, as on a full disk. The node is not blocked,
// the folder is not tried again for a while, and the capture continues in the next file, with a head.
func TestFolderFailure(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	c := newWorkload(t, settings.Capture{Folder: dir, FileBytes: 64 << 10}, 1).run(50)
	if c.folder.file != nil || c.nextWarning.IsZero() {
		t.Error("missing folder: a file was opened, or no warning was logged")
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if c.run(50); len(folderNames(t, dir)) != 0 {
		t.Error("the folder was tried again without a delay")
	}
	c.folder.retryAt = time.Now()
	c.run(50)
	c.folder.file.Close() // the next write fails, as on a failing disk
	c.run(50)
	if c.folder.file != nil {
		t.Error("the file is still open after a failed write")
	}
	c.folder.retryAt = time.Now()
	c.run(50).Close()
	names := folderNames(t, dir)
	if len(names) != 2 {
		t.Fatalf("%d files", len(names))
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if res, differences, warned, err := replayText(t, name, text); err != nil || differences+warned != "" || res.Compared == 0 {
			t.Errorf("%s: %+v, %v, differences %q, warned %q", name, res, err, differences, warned)
		}
	}
	full := &folder{path: "/dev", maxFileBytes: 1 << 20, file: openForWriting(t, "/dev/full")}
	if _, err := full.append([]byte("x"), false, time.Now()); err == nil || full.file != nil {
		t.Errorf("a full disk: %v", err)
	}
	small := &folder{path: dir, maxFileBytes: 10}
	if _, err := small.append(make([]byte, 11), true, time.Now()); !errors.Is(err, errRecordTooLarge) {
		t.Errorf("a head that does not fit: %v", err)
	}
}

// openForWriting opens an existing file.
func openForWriting(t *testing.T, name string) *os.File {
	t.Helper()
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A record that does not fit into the rest of a file is written to the next file, after its head. The checkpoint of that
// head already includes the record's event, so a replay ignores the record.
func TestRecordThatDoesNotFitGoesToNextFile(t *testing.T) {
	dir := t.TempDir()
	c := newWorkload(t, settings.Capture{Folder: dir, FileBytes: 128 << 10}, 1).run(20)
	var long balancer.EndpointUpdate
	for i := range 450 {
		long.Servers = append(long.Servers, balancer.Server{ID: fmt.Sprintf("s-%08d", i), Zone: "z", State: balancer.Draining})
	}
	c.folder.size = c.folder.maxFileBytes - 17<<10 // simulates a file with so little space left that the list does not fit
	c.feed(long)
	c.run(20).Close()
	if got := len(folderNames(t, dir)); got != 2 {
		t.Errorf("%d files, want a second one for the list", got)
	}
	second, err := os.ReadFile(fileName(dir, 1))
	if err != nil || !bytes.Contains(second, []byte(`"kind":"list"`)) {
		t.Errorf("the list is not in the second file, %v", err)
	}
	for _, name := range folderNames(t, dir) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if res, differences, warned, err := replayText(t, name, text); err != nil || differences+warned != "" || len(text) > 128<<10 {
			t.Errorf("%s of %d bytes: %+v, %v, differences %q, warned %q", name, len(text), res, err, differences, warned)
		}
	}
}
