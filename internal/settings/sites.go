package settings

import "fmt"

// Site is one of the installation's sites, which form a tree.
type Site struct {
	Pos    string // file:line of its block
	Name   string
	Parent string // "" for the root
}

func (f *File) readSite(r *Reader) {
	s := Site{Pos: r.Position(), Name: r.Label(), Parent: r.Text("parent", "")}
	if !isPrintable(s.Name) {
		r.AddErrorAt(r.Block.Line, "the label of a site must be its name: 1 to %d printable ASCII characters", maxTextLength)
	}
	for _, other := range f.Sites {
		if other.Name == s.Name {
			r.AddErrorAt(r.Block.Line, "site %s is already defined (%s)", s.Name, other.Pos)
		}
	}
	f.Sites = append(f.Sites, s)
}

// checkSites returns an error unless the sites form one tree that contains the node's site.
func (f *File) checkSites() error {
	parents := map[string]string{}
	for _, s := range f.Sites {
		parents[s.Name] = s.Parent
	}
	roots := 0
	for _, s := range f.Sites {
		if s.Parent == "" {
			roots++
			if roots > 1 {
				return fmt.Errorf("%s: site %s has no parent, but another site is already the root", s.Pos, s.Name)
			}
			continue
		}
		if _, ok := parents[s.Parent]; !ok {
			return fmt.Errorf("%s: site %s has the parent %s, which is not a site", s.Pos, s.Name, s.Parent)
		}
		if inCycle(parents, s.Name) {
			return fmt.Errorf("%s: site %s is its own ancestor", s.Pos, s.Name)
		}
	}
	if f.Peers == nil {
		return nil
	}
	if _, ok := parents[f.Peers.Site]; !ok {
		return fmt.Errorf("%s: no block defines the site %q", f.Peers.Pos, f.Peers.Site)
	}
	return nil
}

// inCycle reports whether following the parents of a site never reaches the root.
func inCycle(parents map[string]string, name string) bool {
	steps := 0
	for at := name; at != ""; at = parents[at] {
		if steps > len(parents) {
			return true
		}
		steps++
	}
	return false
}
