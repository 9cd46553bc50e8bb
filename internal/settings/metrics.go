package settings

import "time"

// Metrics says how metrics are reported, and where to. Without File and UDP they go to standard error.
type Metrics struct {
	Format   string        // statsd (default) or influx
	File     string        // "": no file
	UDP      string        // HOST:PORT; "": no packets
	Flush    time.Duration // between two reports; default 1 s
	MaxBatch int           // bytes of one packet or write; default 1400
}

// Bounds of Metrics.
const (
	defaultFlushInterval = time.Second           // the resolution that dashboards usually have
	minFlushInterval     = 10 * time.Millisecond // shorter ones cost more than the requests
	maxFlushInterval     = time.Minute           // longer ones would hide an outage

	defaultMaxBatch = 1400  // bytes: fits in a packet of an Ethernet network
	minMaxBatch     = 64    // bytes: a line must fit
	maxMaxBatch     = 65507 // bytes: the payload of the largest UDP packet
)

func (f *File) readMetrics(r *Reader) {
	r.CheckSingle(f.Metrics != nil)
	f.Metrics = &Metrics{
		Format:   r.OneOf("format", "statsd", "influx"),
		File:     r.Text("file", ""),
		UDP:      r.Text("udp", ""),
		Flush:    r.Milliseconds("flush_ms", defaultFlushInterval, minFlushInterval, maxFlushInterval),
		MaxBatch: r.Integer("max_batch_bytes", defaultMaxBatch, minMaxBatch, maxMaxBatch),
	}
	if line, ok := r.LineOf("file"); ok && f.Metrics.File == "" {
		r.AddErrorAt(line, "file must name a file")
	}
	if line, ok := r.LineOf("udp"); ok && !isHostPort(f.Metrics.UDP) {
		r.AddErrorAt(line, "udp must be HOST:PORT")
	}
}
