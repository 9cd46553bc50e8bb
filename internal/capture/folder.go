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
	// filesPerFolder is the number of files in a folder. Together with the file size in the settings it limits the disk
	// space of a capture.
	filesPerFolder = 8
	// fileMode denies access to other users, because records contain request IDs and tenants.
	fileMode = 0o600
	// minFreeDivisor determines when a file is full: when less than 1/minFreeDivisor of it is free. The rest would rarely
	// fit a record, and the next file, with its head, starts before a record fails to fit.
	minFreeDivisor = 8
	// folderRetryDelay is the delay before the next write after a failure, so that a full disk is not tried for each record.
	folderRetryDelay = 5 * time.Second
)

// errRecordTooLarge is returned for a record that is larger than the configured file size. An operator can raise the size.
var errRecordTooLarge = errors.New("the record is larger than a capture file: file_kb in the settings is too small")

// folder appends frames to a rotating set of files and overwrites the oldest file first. After a failed write it waits for
// folderRetryDelay and continues with the next file, which begins with a head: nothing is appended to a file whose last
// record may be incomplete. It must be used by one goroutine only.
type folder struct {
	path         string
	maxFileBytes int
	nextFile     int       // index of the file to open next, from 0
	file         *os.File  // nil: none is open
	size         int       // bytes written to file
	retryAt      time.Time // after a failure: no file is opened before it
}

// fileName returns the path of the file with an index from 0; the number in its name counts from 1.
func fileName(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("capture-%04d%s", i+1, fileExtension))
}

// openFolder returns a folder that continues after its newest existing file. It opens no file.
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

// fileStart returns the time of a file's head, as Unix time in ns. For a file without a readable head it returns the
// modification time, and for a file that can't be read it returns false.
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

// needsHead reports whether the next record must be a head, because it starts a file.
func (d *folder) needsHead(now time.Time) bool {
	return d.file == nil && now.After(d.retryAt)
}

// append writes a frame to the open file. If no file is open, a head opens the next one and any other record is dropped.
// append returns false if the frame does not fit: the file is then closed, and the caller writes the record again after
// the next head.
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
		d.file.Truncate(int64(d.size)) // if this fails too, the file ends with a truncated record, which a replay skips
		return true, d.suspend(err, now)
	}
	d.size += len(frame)
	if free := d.maxFileBytes - d.size; free < d.maxFileBytes/minFreeDivisor {
		d.close()
	}
	return true, nil
}

// openNext opens and truncates the next file. It leaves the old file as it is if the head would not fit.
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

// suspend stops writes to the folder for folderRetryDelay after an error, and returns the error.
func (d *folder) suspend(err error, now time.Time) error {
	d.close()
	d.retryAt = now.Add(folderRetryDelay)
	return err
}

// close closes the open file, if any.
func (d *folder) close() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
}
