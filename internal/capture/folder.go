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
	files      = 8
	fileMode   = 0o600 // ids and tenants are nobody else's business
	spareRoom  = 8     // a file is full when less than this part of it is free
	retryAfter = 5 * time.Second
)

var errRoom = errors.New("the record does not fit into a file")

// folder appends records to files in turn, the oldest overwritten first. After a failure it rests and goes on with
// the next file, which begins with a head: nothing follows a record that may be half there.
type folder struct {
	path string
	most int // bytes of a file
	next int // the file to open, from 0
	f    *os.File
	size int
	rest time.Time // nothing is tried before
}

func fileName(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("capture-%04d.hwc", i+1))
}

// openFolder goes on after the newest file that is there.
func openFolder(path string, most int) *folder {
	d := &folder{path: path, most: most}
	newest := int64(-1)
	for i := range files {
		if at, ok := began(fileName(path, i)); ok && at > newest {
			newest, d.next = at, (i+1)%files
		}
	}
	return d
}

// began tells when a file was begun: its head says so, else the time it was last written must do.
func began(name string) (at int64, ok bool) {
	f, err := os.Open(name)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	if frame, err := readFrame(bufio.NewReader(f)); err == nil {
		var r struct {
			At   int64  `json:"at"`
			Kind string `json:"kind"`
		}
		if json.Unmarshal(frame, &r) == nil && r.Kind == kindHead {
			return r.At, true
		}
	}
	info, err := f.Stat()
	if err != nil {
		return 0, false
	}
	return info.ModTime().UnixNano(), true
}

// wants says that the next record must be a head, for it begins a file.
func (d *folder) wants(now time.Time) bool {
	return d.f == nil && now.After(d.rest)
}

// append writes a record to the file, and a head to the next file if there is none. False: the file is full, and
// the record belongs behind the next head.
func (d *folder) append(frame []byte, isHead bool, now time.Time) (fits bool, err error) {
	if d.f == nil {
		if !isHead || !d.wants(now) {
			return true, nil
		}
		if len(frame) > d.most { // nothing is overwritten for it
			return true, d.failed(errRoom, now)
		}
		f, err := os.OpenFile(fileName(d.path, d.next), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
		if err != nil {
			return true, d.failed(err, now)
		}
		d.f, d.size, d.next = f, 0, (d.next+1)%files
	}
	if d.size+len(frame) > d.most {
		d.end()
		return false, nil
	}
	if _, err := d.f.Write(frame); err != nil {
		d.f.Truncate(int64(d.size))
		return true, d.failed(err, now)
	}
	if d.size += len(frame); d.most-d.size < d.most/spareRoom {
		d.end()
	}
	return true, nil
}

func (d *folder) failed(err error, now time.Time) error {
	d.end()
	d.rest = now.Add(retryAfter)
	return err
}

func (d *folder) end() {
	if d.f != nil {
		d.f.Close()
		d.f = nil
	}
}
