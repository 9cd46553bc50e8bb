package membership

import "fmt"

// NameConflictError says that two running nodes use one name.
type NameConflictError struct{ Local, Other Incarnation }

func (e *NameConflictError) Error() string {
	return fmt.Sprintf("another node runs as %s (start %d, this one %d): this one grants nothing while that lasts; "+
		"give one of them another name", e.Local.Name, e.Other.Start, e.Local.Start)
}

// StaleIncarnationError says that the start number on disk had gone back: the disk forgot, or lies.
type StaleIncarnationError struct{ Stored, Now uint64 }

func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("the peers know a later start of this node than its folder (%d): it goes on as start %d; "+
		"if the folder is meant to last, look at its disk", e.Stored, e.Now)
}

// UnknownSiteError says that a member names a site that the settings do not have.
type UnknownSiteError struct{ Name, Site string }

func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("member %s says that it is of site %q, which these settings do not have: it is left out; "+
		"give all nodes the same sites", e.Name, e.Site)
}
