package settings

import "strings"

// Peers configures how a node finds and reaches the other nodes of its installation.
type Peers struct {
	Pos              string            // file:line of its block
	Site             string            // of the node
	Listen           string            // HOST:PORT, for packets and streams
	Seeds            []string          // HOST:PORT of nodes to join through
	KeyFile          string            // holds the keys that encrypt messages between peers
	Label            string            // of the installation; "": none
	Folder           string            // where the node's start number is persisted; "": $TMPDIR
	AddressOverrides map[string]string // from a peer's listen address to the address that reaches it from here
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
