package settings

// Capture says where the records of the decision module are kept, beside standard error and memory.
type Capture struct {
	Folder    string // "": none
	FileBytes int    // of one file there, at most; default 512 KiB
}

// Bounds of a capture file, in KiB.
const (
	defaultCaptureFile = 512     // some minutes of a node at usual load
	minCaptureFile     = 64      // below it a file would hold little more than its head
	maxCaptureFile     = 1 << 20 // 1 GiB: what a replay reads in reasonable time
)

func (f *File) readCapture(r *Reader) {
	r.CheckSingle(f.Capture != nil)
	f.Capture = &Capture{
		Folder:    r.Text("folder", ""),
		FileBytes: r.Integer("file_kb", defaultCaptureFile, minCaptureFile, maxCaptureFile) << 10,
	}
	r.checkFolder(f.Capture.Folder)
}
