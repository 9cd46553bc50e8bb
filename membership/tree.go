package membership

import (
	"fmt"
	"slices"
)

// Tree has each site's parent; the root's is "".
type Tree map[string]string

// Check says what is wrong with a tree.
func (t Tree) Check() error {
	for site := range t {
		seen := map[string]bool{}
		for at := site; at != ""; at = t[at] {
			if _, ok := t[at]; !ok {
				return fmt.Errorf("site %s has the parent %q, which is no site", site, at)
			}
			if seen[at] {
				return fmt.Errorf("site %s is its own parent's parent", site)
			}
			seen[at] = true
		}
	}
	return nil
}

// children are the sites directly below one, sorted.
func (t Tree) children(site string) (list []string) {
	for child, parent := range t {
		if parent == site {
			list = append(list, child)
		}
	}
	slices.Sort(list)
	return list
}
