package settings

// Capture configures where the records of the decision module are stored, in addition to standard error and memory.
type Capture struct {
	Folder    string // "": no files
	FileBytes int    // maximum size of one file; default 512 KiB
}

// Bounds of a capture file, in KiB.
const (
	defaultCaptureFile = 512     // a few minutes of records at the usual load of a node
	minCaptureFile     = 64      // a smaller file would hold little more than its head
	maxCaptureFile     = 1 << 20 // 1 GiB: the most that a replay reads in reasonable time
)

func (f *File) readCapture(r *Reader) {
	r.CheckSingle(f.Capture != nil)
	f.Capture = &Capture{
		Folder:    r.Text("folder", ""),
		FileBytes: r.Integer("file_kb", defaultCaptureFile, minCaptureFile, maxCaptureFile) << 10,
	}
	r.checkFolder(f.Capture.Folder)
}
