package settings

import "strings"

// Peers says how a node meets the other nodes of its installation.
type Peers struct {
	Pos              string            // file:line of its block
	Site             string            // that the node is of
	Listen           string            // HOST:PORT, for packets and streams
	Seeds            []string          // HOST:PORT of nodes to join through
	KeyFile          string            // of the keys that encrypt what peers send
	Label            string            // of the installation; "": none
	Folder           string            // for the number of the node's start; "": $TMPDIR
	AddressOverrides map[string]string // HOST:PORT where a peer listens, to where it is reached from here
}

func (f *File) readPeers(r *Reader) {
	r.CheckSingle(f.Peers != nil)
	p := &Peers{
		Pos:              r.Position(),
		Site:             r.Text("site", ""),
		Listen:           r.Text("listen", ""),
		Seeds:            r.Texts("seeds"),
		KeyFile:          r.Text("key_file", ""),
		Label:            r.Text("label", ""),
		Folder:           r.Text("folder", ""),
		AddressOverrides: map[string]string{},
	}
	for name, text := range map[string]string{"site": p.Site, "listen": p.Listen, "key_file": p.KeyFile} {
		if text == "" {
			r.AddErrorAt(r.Block.Line, "block peers needs %s", name)
		}
	}
	checkAddress := func(name, address string) {
		if !isHostPort(address) {
			line, _ := r.LineOf(name)
			r.AddErrorAt(line, "%s must be HOST:PORT", name)
		}
	}
	checkAddress("listen", p.Listen)
	for _, seed := range p.Seeds {
		checkAddress("seeds", seed)
	}
	for _, override := range r.Texts("via") { // "10.0.0.4:7946=192.0.2.1:7946"
		listen, reached, ok := strings.Cut(override, "=")
		if line, _ := r.LineOf("via"); !ok {
			r.AddErrorAt(line, "via must be a list of HOST:PORT=HOST:PORT")
		}
		checkAddress("via", listen)
		checkAddress("via", reached)
		p.AddressOverrides[listen] = reached
	}
	f.Peers = p
}
