package settings

import "slices"

// ConfigWatch configures from which controllers a node gets configuration versions, and how it identifies itself.
type ConfigWatch struct {
	Pos         string   // file:line of its block
	Controllers []string // HOST:PORT, at least one; tried first, then those that the controllers report
	Service     string   // whose configuration the node uses
	Region      string   // "": unknown; then no controller is preferred for its region
	Zone        string   // "": unknown; then no controller is preferred for its zone
	Folder      string   // where the version in force is persisted; "": the version is lost when the process ends
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
		r.AddErrorAt(r.Block.Line, "block config_watch needs service: 1 to %d printable ASCII characters", maxTextLength)
	}
	for name, text := range map[string]string{"region": w.Region, "zone": w.Zone} {
		if line, set := r.LineOf(name); set && !isPrintable(text) {
			r.AddErrorAt(line, "%s must be 1 to %d printable ASCII characters", name, maxTextLength)
		}
	}
	r.checkFolder(w.Folder)
	f.ConfigWatch = w
}

// checkControllers records an error if there are no controllers, or if an address is invalid or repeated.
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
