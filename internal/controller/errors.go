package controller

import "fmt"

// FolderError reports that a controller's folder can't be used.
type FolderError struct {
	Folder string
	Reason string // with what an operator can do
	Err    error  // nil: Reason says it all
}

func (e *FolderError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("controller: folder %s: %s", e.Folder, e.Reason)
	}
	return fmt.Sprintf("controller: folder %s: %v: %s", e.Folder, e.Err, e.Reason)
}

// Unwrap returns the error of the system, if there is one.
func (e *FolderError) Unwrap() error { return e.Err }

// Advice to operators in FolderErrors.
const (
	// emptyFolderAdvice is for a folder whose content can't be used.
	emptyFolderAdvice = "empty the folder, and the controller copies the state from the others"
	// writableFolderAdvice is for a folder that can't be written.
	writableFolderAdvice = "name a folder that this process may write"
	// checkDiskAdvice is for a write that failed.
	checkDiskAdvice = "look at the disk"
)

// ListenError reports that a controller can't listen at one of its addresses.
type ListenError struct {
	Address string // HOST:PORT
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("controller: can't listen at %s: %v: is another process there, or is it no address of this machine?", e.Address, e.Err)
}

// Unwrap returns the error of the system.
func (e *ListenError) Unwrap() error { return e.Err }

// ConsensusError reports that raft could not run on the controller's folder.
type ConsensusError struct {
	Problem string
	Err     error // raft's
}

func (e *ConsensusError) Error() string { return fmt.Sprintf("controller: %s: %v", e.Problem, e.Err) }

// Unwrap returns raft's error.
func (e *ConsensusError) Unwrap() error { return e.Err }

// UnknownControllerError reports that the log has a controller that the settings file does not name.
type UnknownControllerError struct{ Name string }

func (e *UnknownControllerError) Error() string {
	return fmt.Sprintf("no controller %s in the settings: all controllers need the same settings file", e.Name)
}

// ConfigError says what is wrong with a settings file as a whole.
type ConfigError struct {
	File   string
	Reason string
}

func (e *ConfigError) Error() string { return e.File + ": " + e.Reason }
