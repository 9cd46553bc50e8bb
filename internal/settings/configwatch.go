package settings

import "slices"

// ConfigWatch says where a node learns of configuration versions, and as whom.
type ConfigWatch struct {
	Pos         string   // file:line of its block
	Controllers []string // HOST:PORT, one at least; the first to try, later ones come from the controllers
	Service     string   // whose configuration the node takes
	Region      string   // "": unknown, then no controller is nearer than another
	Zone        string   // the same
	Folder      string   // where the version in force is persisted; "": nowhere, it ends with the process
}

func (f *File) readConfigWatch(r *Reader) {
	r.CheckSingle(f.ConfigWatch != nil)
	w := &ConfigWatch{
		Pos:         r.Position(),
		Controllers: r.Texts("controllers"),
		Service:     r.Text("service", ""),
		Region:      r.Text("region", ""),
		Zone:        r.Text("zone", ""),
		Folder:      r.Text("folder", ""),
	}
	checkControllers(r, w.Controllers)
	if !isPrintable(w.Service) {
		r.AddErrorAt(r.Block.Line, "block config_watch needs service: 1 to %d visible characters", maxTextLength)
	}
	for name, text := range map[string]string{"region": w.Region, "zone": w.Zone} {
		if line, set := r.LineOf(name); set && !isPrintable(text) {
			r.AddErrorAt(line, "%s must be 1 to %d visible characters", name, maxTextLength)
		}
	}
	r.checkFolder(w.Folder)
	f.ConfigWatch = w
}

// checkControllers notes an error unless there are controllers, each with an address of its own.
func checkControllers(r *Reader, controllers []string) {
	if len(controllers) == 0 {
		r.AddErrorAt(r.Block.Line, "block config_watch needs controllers")
	}
	line, _ := r.LineOf("controllers")
	for i, address := range controllers {
		if !isHostPort(address) {
			r.AddErrorAt(line, "controllers must be a list of HOST:PORT")
		}
		if slices.Contains(controllers[:i], address) {
			r.AddErrorAt(line, "controllers names %s twice", address)
		}
	}
}
