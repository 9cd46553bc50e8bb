package settings

import "time"

// Metrics configures the format and the destinations of metrics. Without File and UDP they are written to standard error.
type Metrics struct {
	Format   string        // statsd (default) or influx
	File     string        // "": no file
	UDP      string        // HOST:PORT; "": no UDP
	Flush    time.Duration // interval between reports; default 1 s
	MaxBatch int           // bytes of one packet or write; default 1400
}

// Bounds of Metrics.
const (
	defaultFlushInterval = time.Second           // the usual resolution of dashboards
	minFlushInterval     = 10 * time.Millisecond // a shorter interval costs more than serving the requests
	maxFlushInterval     = time.Minute           // a longer interval would hide an outage

	defaultMaxBatch = 1400  // bytes: fits in an Ethernet packet
	minMaxBatch     = 64    // bytes: enough for one line
	maxMaxBatch     = 65507 // bytes: the largest UDP payload
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
