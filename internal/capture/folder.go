package capture

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// filesPerFolder is how many files a folder has; with the settings' size of a file it bounds what a capture takes of the
	// disk.
	filesPerFolder = 8
	// fileMode keeps files from other users: request IDs and tenants are nobody else's business.
	fileMode = 0o600
	// minFreeDivisor: a file counts as full when less than this part of it is free. What is left would rarely hold a
	// record, and a head goes into the next file in good time.
	minFreeDivisor = 8
	// folderRetryDelay is how long a folder that failed is left alone: a full disk is not tried with each record.
	folderRetryDelay = 5 * time.Second
)

// errRecordTooLarge says that a record is larger than the settings allow for a file. An operator can raise the size.
var errRecordTooLarge = errors.New("the record does not fit into a file: its size in the settings is too small")

// folder appends frames to files in turn, the oldest overwritten first. After a failure it waits for a while and goes on with
// the next file, which begins with a head: nothing follows a record that may be half written. It belongs to one goroutine.
type folder struct {
	path         string
	maxFileBytes int
	nextFile     int      // to open, from 0
	file         *os.File // nil: none is open
	size         int      // of file
	retryAt      time.Time
}

func fileName(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("capture-%04d%s", i+1, fileExtension))
}

// openFolder goes on after the newest file that is there. It opens none.
func openFolder(path string, maxFileBytes int) *folder {
	d := &folder{path: path, maxFileBytes: maxFileBytes}
	newest := int64(-1)
	for i := range filesPerFolder {
		if start, ok := fileStart(fileName(path, i)); ok && start > newest {
			newest, d.nextFile = start, (i+1)%filesPerFolder
		}
	}
	return d
}

// fileStart is the Unix time in ns at which a file was begun, by its head; of a file without a readable one, the time at
// which it was last written. It returns false for a file that can't be read.
func fileStart(name string) (start int64, ok bool) {
	f, err := os.Open(name)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	if text, err := readFrame(bufio.NewReader(f)); err == nil {
		var r struct {
			At   int64      `json:"at"`
			Kind recordKind `json:"kind"`
		}
		if json.Unmarshal(text, &r) == nil && r.Kind == kindHead {
			return r.At, true
		}
	}
	info, err := f.Stat()
	if err != nil {
		return 0, false
	}
	return info.ModTime().UnixNano(), true
}

// needsHead says that the next record must be a head, for it begins a file.
func (d *folder) needsHead(now time.Time) bool {
	return d.file == nil && now.After(d.retryAt)
}

// append writes a frame to the open file; a head opens the next file if none is open, and without one other records are
// dropped. It returns false if the file is full: it is closed then, and the record belongs behind the next head.
func (d *folder) append(frame []byte, isHead bool, now time.Time) (fits bool, err error) {
	if d.file == nil {
		if !isHead || !d.needsHead(now) {
			return true, nil
		}
		if err := d.openNext(len(frame)); err != nil {
			return true, d.suspend(err, now)
		}
	}
	if d.size+len(frame) > d.maxFileBytes {
		d.close()
		return false, nil
	}
	if _, err := d.file.Write(frame); err != nil {
		d.file.Truncate(int64(d.size)) // if that fails too, the file ends with a truncated record, which a replay skips
		return true, d.suspend(err, now)
	}
	d.size += len(frame)
	if free := d.maxFileBytes - d.size; free < d.maxFileBytes/minFreeDivisor {
		d.close()
	}
	return true, nil
}

// openNext opens the next file for a head of a size. A file is not overwritten for a head that does not fit into it.
func (d *folder) openNext(headBytes int) error {
	if headBytes > d.maxFileBytes {
		return errRecordTooLarge
	}
	f, err := os.OpenFile(fileName(d.path, d.nextFile), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	d.file, d.size, d.nextFile = f, 0, (d.nextFile+1)%filesPerFolder
	return nil
}

// suspend leaves the folder alone for folderRetryDelay after an error, which it returns.
func (d *folder) suspend(err error, now time.Time) error {
	d.close()
	d.retryAt = now.Add(folderRetryDelay)
	return err
}

// close closes the open file, if there is one.
func (d *folder) close() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
}
