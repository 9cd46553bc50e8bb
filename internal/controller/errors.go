package controller

import "fmt"

// FolderError reports that a controller's folder can't be used.
type FolderError struct {
	Folder string
	Reason string // the cause, or advice to the operator
	Err    error  // nil if Reason is the whole cause
}

func (e *FolderError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("controller: folder %s: %s", e.Folder, e.Reason)
	}
	return fmt.Sprintf("controller: folder %s: %v: %s", e.Folder, e.Err, e.Reason)
}

// Unwrap returns the underlying error, or nil.
func (e *FolderError) Unwrap() error { return e.Err }

// Advice to operators in FolderErrors.
const (
	// emptyFolderAdvice is for a folder whose content can't be used.
	emptyFolderAdvice = "empty the folder; the controller will copy the state from the other controllers"
	// writableFolderAdvice is for a folder that is not writable.
	writableFolderAdvice = "specify a folder that this process can write to"
	// checkDiskAdvice is for a write that failed.
	checkDiskAdvice = "check the disk for errors and free space"
)

// ListenError reports that a controller can't listen on one of its addresses.
type ListenError struct {
	Address string // HOST:PORT
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("controller: can't listen on %s: %v: use an address of this machine that no other process listens on", e.Address, e.Err)
}

// Unwrap returns the underlying system error.
func (e *ListenError) Unwrap() error { return e.Err }

// ConsensusError reports that raft could not run on the controller's folder.
type ConsensusError struct {
	Problem string
	Err     error // from raft
}

func (e *ConsensusError) Error() string { return fmt.Sprintf("controller: %s: %v", e.Problem, e.Err) }

// Unwrap returns the error from raft.
func (e *ConsensusError) Unwrap() error { return e.Err }

// UnknownControllerError reports that the log names a controller that is not in the settings file.
type UnknownControllerError struct{ Name string }

func (e *UnknownControllerError) Error() string {
	return fmt.Sprintf("controller %s is not in the settings file: all controllers need the same file", e.Name)
}

// ConfigError reports an error that concerns a settings file as a whole, not one of its lines.
type ConfigError struct {
	File   string
	Reason string
}

func (e *ConfigError) Error() string { return e.File + ": " + e.Reason }
