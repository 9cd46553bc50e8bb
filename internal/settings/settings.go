// Package settings reads the project's own settings file: blocks that switch features on. What the file does
// not name is off. Nothing in it is guessed: what is unknown, repeated, of another type or out of range is an
// error that names the file and the line.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// File is a whole settings file.
type File struct {
	FaultInjections []FaultInjection
	Metrics         *Metrics    // nil: off
	AccessList      *AccessList // nil: off
	Capture         *Capture    // nil: off
	Peers           *Peers      // nil: off
	Sites           []Site

	ConfigWatch *ConfigWatch // nil: off
}

// Peers say how a node meets others.
type Peers struct {
	Pos     string // file:line of its block
	Site    string
	Listen  string
	Seeds   []string
	KeyFile string
	Label   string
	Folder  string // for the number of its start; "": $TMPDIR
	Via     map[string]string
}

// ConfigWatch says where a node hears of configuration versions, and as whom.
type ConfigWatch struct {
	Pos         string   // file:line of its block
	Controllers []string // HOST:PORT, one at least; the first ones to try, later ones come from the controllers
	Service     string   // whose configuration the node takes
	Region      string   // "": unknown, then no controller is nearer than another
	Zone        string   // the same
	Folder      string   // where the version in force is kept; "": nowhere, it ends with the process
}

// Site is one of the installation's, below its parent; "": it is the root.
type Site struct{ Pos, Name, Parent string }

// FaultInjection is a rehearsal that can be started.
type FaultInjection struct {
	Pos         string // file:line of its block
	Name        string
	Secret      string // "": it can't be started
	Class       string
	Percent     float64 // percent of the class's requests
	Delay       time.Duration
	AbortStatus int // 0: none
	Duration    time.Duration
}

// Metrics says how figures are reported, and where to.
type Metrics struct {
	Format    string // statsd or influx
	File, UDP string // "": not there; neither: standard error
	Flush     time.Duration
	MaxBatch  int // bytes
}

// AccessList say whose requests are let in.
type AccessList struct {
	Allow, Deny    []netip.Prefix
	TrustedProxies []netip.Prefix
	ProxyTimeout   time.Duration
}

// Capture says what is kept of the module's records beside standard error and memory.
type Capture struct {
	Folder    string // "": none
	FileBytes int    // of one file there, at most
}

const (
	maxFile = 1 << 20
	maxText = 256 // bytes of a label or a secret
)

// Load reads a settings file.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	if len(text) > maxFile {
		return File{}, fmt.Errorf("settings: %s is over %d bytes", path, maxFile)
	}
	f, err := Parse(path, text)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	return f, nil
}

// Parse reads the text of a settings file. Errors begin with its name and the line.
func Parse(name string, text []byte) (File, error) {
	blocks, err := ParseBlocks(name, text)
	if err != nil {
		return File{}, err
	}
	var f File
	for _, b := range blocks {
		r := NewReader(name, b)
		switch b.Kind {
		case "drill":
			f.takeDrill(r)
		case "figures":
			f.takeFigures(r)
		case "addresses":
			f.takeAddresses(r)
		case "capture":
			f.takeCapture(r)
		case "peers":
			f.takePeers(r)
		case "site":
			f.takeSite(r)
		case "config_watch":
			f.takeConfigWatch(r)
		default:
			return File{}, ErrorAt(name, b.Line, "unknown block %s", b.Kind)
		}
		if err := r.End(); err != nil {
			return File{}, err
		}
	}
	return f, f.checkSites()
}

func (f *File) takePeers(r *Reader) {
	r.Once(f.Peers != nil)
	p := &Peers{Pos: fmt.Sprintf("%s:%d", r.File, r.Block.Line), Site: r.Text("site", ""), Listen: r.Text("listen", ""),
		Seeds: r.Texts("seeds"), KeyFile: r.Text("key_file", ""), Label: r.Text("label", ""), Folder: r.Text("folder", ""), Via: map[string]string{}}
	for name, text := range map[string]string{"site": p.Site, "listen": p.Listen, "key_file": p.KeyFile} {
		if text == "" {
			r.AddError(r.Block.Line, "block peers needs %s", name)
		}
	}
	address := func(name, text string) {
		if host, port, err := net.SplitHostPort(text); err != nil || host == "" || port == "" {
			line, _ := r.Has(name)
			r.AddError(line, "%s must be HOST:PORT", name)
		}
	}
	address("listen", p.Listen)
	for _, s := range p.Seeds {
		address("seeds", s)
	}
	for _, v := range r.Texts("via") { // "10.0.0.4:7946=192.0.2.1:7946": a peer that is reached elsewhere than where it listens
		at, to, ok := strings.Cut(v, "=")
		if line, _ := r.Has("via"); !ok {
			r.AddError(line, "via must be a list of HOST:PORT=HOST:PORT")
		}
		address("via", at)
		address("via", to)
		p.Via[at] = to
	}
	f.Peers = p
}

func (f *File) takeConfigWatch(r *Reader) {
	r.Once(f.ConfigWatch != nil)
	w := &ConfigWatch{Pos: fmt.Sprintf("%s:%d", r.File, r.Block.Line), Controllers: r.Texts("controllers"),
		Service: r.Text("service", ""), Region: r.Text("region", ""), Zone: r.Text("zone", ""), Folder: r.Text("folder", "")}
	if len(w.Controllers) == 0 {
		r.AddError(r.Block.Line, "block config_watch needs controllers")
	}
	for i, address := range w.Controllers {
		line, _ := r.Has("controllers")
		if host, port, err := net.SplitHostPort(address); err != nil || host == "" || port == "" {
			r.AddError(line, "controllers must be a list of HOST:PORT")
		}
		if slices.Contains(w.Controllers[:i], address) {
			r.AddError(line, "controllers names %s twice", address)
		}
	}
	if !printable(w.Service) {
		r.AddError(r.Block.Line, "block config_watch needs service: 1 to %d visible characters", maxText)
	}
	for name, text := range map[string]string{"region": w.Region, "zone": w.Zone} {
		if line, set := r.Has(name); set && !printable(text) {
			r.AddError(line, "%s must be 1 to %d visible characters", name, maxText)
		}
	}
	if line, set := r.Has("folder"); set && w.Folder == "" {
		r.AddError(line, "folder must name a folder")
	}
	f.ConfigWatch = w
}

func (f *File) takeSite(r *Reader) {
	s := Site{fmt.Sprintf("%s:%d", r.File, r.Block.Line), r.Label(), r.Text("parent", "")}
	if !printable(s.Name) {
		r.AddError(r.Block.Line, "a site's label is its name: 1 to %d visible characters", maxText)
	}
	for _, o := range f.Sites {
		if o.Name == s.Name {
			r.AddError(r.Block.Line, "site %s is there already (%s)", s.Name, o.Pos)
		}
	}
	f.Sites = append(f.Sites, s)
}

// checkSites says what is wrong with the sites together: they are one tree, and a node is of one of them.
func (f *File) checkSites() error {
	parents, roots := map[string]string{}, 0
	for _, s := range f.Sites {
		parents[s.Name] = s.Parent
	}
	for _, s := range f.Sites {
		if s.Parent == "" {
			if roots++; roots > 1 {
				return fmt.Errorf("%s: site %s has no parent, and another has none either: one is the root", s.Pos, s.Name)
			}
			continue
		}
		if _, ok := parents[s.Parent]; !ok {
			return fmt.Errorf("%s: site %s has the parent %s, which is no site", s.Pos, s.Name, s.Parent)
		}
		for at, steps := s.Name, 0; at != ""; at, steps = parents[at], steps+1 {
			if steps > len(f.Sites) {
				return fmt.Errorf("%s: site %s is above itself", s.Pos, s.Name)
			}
		}
	}
	if f.Peers == nil {
		return nil
	}
	if _, ok := parents[f.Peers.Site]; !ok {
		return fmt.Errorf("%s: site %q is not one of the blocks site", f.Peers.Pos, f.Peers.Site)
	}
	return nil
}

func (f *File) takeDrill(r *Reader) {
	d := FaultInjection{Pos: fmt.Sprintf("%s:%d", r.File, r.Block.Line), Name: r.Label()}
	if !printable(d.Name) || strings.Contains(d.Name, " ") {
		r.AddError(r.Block.Line, "a drill's label is its name: 1 to %d visible characters", maxText)
	}
	d.Secret = r.Text("secret", "")
	if line, ok := r.Has("secret"); ok && !printable(d.Secret) {
		r.AddError(line, "secret must be 1 to %d ASCII characters that fit in a header", maxText)
	}
	d.Class = r.Text("class", "")
	if d.Class == "" {
		r.AddError(r.Block.Line, "drill %s names no class", d.Name)
	}
	d.Percent = r.Number("share", 0, 0, 100)
	d.Delay = r.Milliseconds("delay_ms", 0, 0, time.Hour)
	d.AbortStatus = r.Integer("abort_status", 0, 0, 999)
	if line, ok := r.Has("abort_status"); ok && d.AbortStatus != 503 && d.AbortStatus != 500 {
		r.AddError(line, "abort_status must be 503 or 500")
	}
	d.Duration = time.Duration(r.Number("duration_s", 60, 1, 600) * float64(time.Second))
	for _, other := range f.FaultInjections {
		if other.Name == d.Name {
			r.AddError(r.Block.Line, "drill %s is there already (%s)", d.Name, other.Pos)
		}
		if other.Secret == d.Secret && d.Secret != "" {
			r.AddError(r.Block.Line, "drill %s has the secret of drill %s: a key must name one drill", d.Name, other.Name)
		}
	}
	f.FaultInjections = append(f.FaultInjections, d)
}

func (f *File) takeFigures(r *Reader) {
	r.Once(f.Metrics != nil)
	f.Metrics = &Metrics{
		Format:   r.OneOf("format", "statsd", "influx"),
		File:     r.Text("file", ""),
		UDP:      r.Text("udp", ""),
		Flush:    r.Milliseconds("flush_ms", time.Second, 10*time.Millisecond, time.Minute),
		MaxBatch: r.Integer("max_batch_bytes", 1400, 64, 65507),
	}
	if line, ok := r.Has("file"); ok && f.Metrics.File == "" {
		r.AddError(line, "file must name a file")
	}
	if line, ok := r.Has("udp"); ok {
		if host, port, err := net.SplitHostPort(f.Metrics.UDP); err != nil || host == "" || port == "" {
			r.AddError(line, "udp must be HOST:PORT")
		}
	}
}

func (f *File) takeAddresses(r *Reader) {
	r.Once(f.AccessList != nil)
	f.AccessList = &AccessList{Allow: r.Prefixes("allow"), Deny: r.Prefixes("deny"), TrustedProxies: r.Prefixes("proxy_from"),
		ProxyTimeout: r.Milliseconds("proxy_timeout_ms", 500*time.Millisecond, time.Millisecond, time.Second)}
}

func (f *File) takeCapture(r *Reader) {
	r.Once(f.Capture != nil)
	f.Capture = &Capture{Folder: r.Text("folder", ""), FileBytes: r.Integer("file_kb", 512, 64, 1<<20) << 10}
	if line, ok := r.Has("folder"); ok && f.Capture.Folder == "" {
		r.AddError(line, "folder must name a folder")
	}
}

// printable says that a text may stand in a header as it is.
func printable(s string) bool {
	return s != "" && len(s) <= maxText && s == strings.TrimSpace(s) &&
		!strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c > '~' })
}

// Reader takes the settings of one block and keeps the first fault. What nobody has asked for by the time of End
// is a fault too. Other files of the same grammar are read with it, the lab's scenarios among them.
type Reader struct {
	File   string
	Block  Block
	known  []string
	blocks []string // kinds of blocks inside that were asked for
	err    error
}

// NewReader reads a block of a file.
func NewReader(file string, b Block) *Reader { return &Reader{File: file, Block: b} }

// Blocks returns readers of the blocks of one kind inside this one.
func (r *Reader) Blocks(kind string) (inner []*Reader) {
	r.blocks = append(r.blocks, kind)
	for _, b := range r.Block.Blocks {
		if b.Kind == kind {
			inner = append(inner, NewReader(r.File, b))
		}
	}
	return inner
}

// AddError notes a fault at a line, unless there is one already.
func (r *Reader) AddError(line int, format string, args ...any) {
	if r.err == nil {
		r.err = ErrorAt(r.File, line, format, args...)
	}
}

// AddErr notes the fault of a block inside this one, unless there is one already.
func (r *Reader) AddErr(err error) {
	if r.err == nil {
		r.err = err
	}
}

// End says what was wrong with the block; a setting that nobody asked for is.
func (r *Reader) End() error {
	if r.err != nil {
		return r.err
	}
	for _, b := range r.Block.Blocks {
		if slices.Contains(r.blocks, b.Kind) {
			continue
		}
		return ErrorAt(r.File, b.Line, "unknown block %s in block %s", b.Kind, r.Block.Kind)
	}
	for _, s := range r.Block.settings {
		if !slices.Contains(r.known, s.name) {
			return ErrorAt(r.File, s.line, "unknown setting %s in block %s", s.name, r.Block.Kind)
		}
	}
	return nil
}

// Label is the block's label, which must be there.
func (r *Reader) Label() string {
	if !r.Block.HasLabel {
		r.AddError(r.Block.Line, "block %s needs a label", r.Block.Kind)
	}
	return r.Block.Label
}

// Once is for blocks of which there is one at most; they have no label.
func (r *Reader) Once(again bool) {
	switch {
	case again:
		r.AddError(r.Block.Line, "block %s is there already", r.Block.Kind)
	case r.Block.HasLabel:
		r.AddError(r.Block.Line, "block %s has no label", r.Block.Kind)
	}
}

// Has tells where a setting stands.
func (r *Reader) Has(name string) (line int, ok bool) {
	for _, s := range r.Block.settings {
		if s.name == name {
			return s.line, true
		}
	}
	return 0, false
}

// get finds a setting of type T.
func get[T any](r *Reader, name, kind string) (v T, line int, ok bool) {
	r.known = append(r.known, name)
	for _, s := range r.Block.settings {
		if s.name != name {
			continue
		}
		if v, ok = s.value.(T); !ok {
			r.AddError(s.line, "%s must be %s", name, kind)
		}
		return v, s.line, ok
	}
	return v, 0, false
}

// Text takes a string.
func (r *Reader) Text(name, byDefault string) string {
	if v, _, ok := get[string](r, name, "a string"); ok {
		return v
	}
	return byDefault
}

// Texts takes a list of strings.
func (r *Reader) Texts(name string) []string {
	list, _, _ := get[[]string](r, name, "a list of strings")
	return list
}

// OneOf takes one of some words, the first by default.
func (r *Reader) OneOf(name string, words ...string) string {
	v := r.Text(name, words[0])
	if !slices.Contains(words, v) {
		line, _ := r.Has(name)
		r.AddError(line, "%s must be one of %s", name, strings.Join(words, ", "))
	}
	return v
}

// Prefixes takes a list of IPv4 and IPv6 ranges. An IPv4 range written as IPv6 is an IPv4 range.
func (r *Reader) Prefixes(name string) (list []netip.Prefix) {
	texts, line, _ := get[[]string](r, name, "a list of strings")
	for _, text := range texts {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			r.AddError(line, "%s: %q is not a range such as 10.4.0.0/16", name, text)
			continue
		}
		if p != p.Masked() {
			r.AddError(line, "%s: %s has address bits beyond its length: %s is meant, or a longer one", name, text, p.Masked())
		}
		if p.Addr().Is4In6() && p.Bits() >= 96 {
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
		}
		list = append(list, p)
	}
	return list
}

// Number takes a number within bounds.
func (r *Reader) Number(name string, byDefault, least, most float64) float64 {
	text, line, ok := get[number](r, name, "a number")
	if !ok {
		return byDefault
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if errors.Is(err, strconv.ErrRange) || !(v >= least && v <= most) {
		r.AddError(line, "%s must be from %g to %g", name, least, most)
		return byDefault
	}
	return v
}

// Integer takes a whole number within bounds.
func (r *Reader) Integer(name string, byDefault, least, most int) int {
	v := r.Number(name, float64(byDefault), float64(least), float64(most))
	if v != float64(int(v)) {
		line, _ := r.Has(name)
		r.AddError(line, "%s must be a whole number", name)
	}
	return int(v)
}

// Milliseconds takes a length of time in milliseconds.
func (r *Reader) Milliseconds(name string, byDefault, least, most time.Duration) time.Duration {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return time.Duration(r.Number(name, ms(byDefault), ms(least), ms(most)) * float64(time.Millisecond))
}

// Seconds takes a length of time in seconds.
func (r *Reader) Seconds(name string, byDefault, least, most time.Duration) time.Duration {
	return time.Duration(r.Number(name, byDefault.Seconds(), least.Seconds(), most.Seconds()) * float64(time.Second))
}
