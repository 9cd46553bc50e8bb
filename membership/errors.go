package membership

import "fmt"

// NameConflictError means that two running nodes use the same name.
type NameConflictError struct{ Local, Other Incarnation }

func (e *NameConflictError) Error() string {
	return fmt.Sprintf("another running node uses the name %s (its start number is %d, this node's %d): this node grants nothing "+
		"until the conflict ends; rename one of the two nodes", e.Local.Name, e.Other.Start, e.Local.Start)
}

// StaleIncarnationError means that the start number on disk was not higher than one that peers already know: a write was
// lost, or the file was restored from an older state.
type StaleIncarnationError struct{ Stored, Now uint64 }

func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("the stored start number %d of this node is stale, because its peers know one at least as high: "+
		"the node continues with %d; if its folder is on persistent storage, check the disk", e.Stored, e.Now)
}

// UnknownSiteError means that a member reports a site that is not in the local node's settings.
type UnknownSiteError struct{ Name, Site string }

func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("member %s is ignored, because its site %q is not in this node's settings: "+
		"configure the same sites on all nodes", e.Name, e.Site)
}
