package membership

import (
	"fmt"
	"slices"
)

// Tree maps each site to its parent. The parent of the root is "".
type Tree map[string]string

// Check returns an error if a parent is not a site of the tree, or if the parents form a cycle.
func (t Tree) Check() error {
	for site := range t {
		seen := map[string]bool{}
		for at := site; at != ""; at = t[at] {
			if _, ok := t[at]; !ok {
				return fmt.Errorf("site %s has the parent %q, which is not a site", site, at)
			}
			if seen[at] {
				return fmt.Errorf("site %s is its own ancestor", site)
			}
			seen[at] = true
		}
	}
	return nil
}

// children returns the sites whose parent is the given site, sorted.
func (t Tree) children(site string) (list []string) {
	for child, parent := range t {
		if parent == site {
			list = append(list, child)
		}
	}
	slices.Sort(list)
	return list
}
