package clientload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"testing"
	"time"
)

// slowUpload is a request whose server reads it slowly.
type slowUpload struct {
	size    int
	chunked bool
	rate    int           // bytes per second that the server reads at most
	pause   time.Duration // of the server between two reads; 0: slowReadInterval
	fast    int           // bytes that the server reads at once, before it becomes slow
	receive int           // size of the servers' receive buffers in bytes; 0: the kernel's choice
	budget  time.Duration

	// Of a client that writes the body in pieces, each followed by a pause.
	lump       int           // bytes; 0: the client writes all of the body at once
	clientRate int           // bytes per second, the pauses included
	firstPause time.Duration // between the head and the body
}

const (
	slowReadInterval = 250 * time.Millisecond
	lateAnswerSlack  = 500 * time.Millisecond // an answer is lost if it comes later than this after its due time
	uploadChunk      = 32 << 10               // bytes of one chunk of a chunked body
)

// slowListener accepts connections from which an upload's server reads slowly.
type slowListener struct {
	net.Listener
	upload slowUpload
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.upload.receive > 0 {
		c.(*net.TCPConn).SetReadBuffer(l.upload.receive)
	}
	return &slowReaderConn{Conn: c, upload: l.upload}, nil
}

// slowReaderConn reads what its upload allows in one interval, and then pauses until the next.
type slowReaderConn struct {
	net.Conn
	upload slowUpload
	read   int       // bytes
	began  time.Time // of the current interval
	inTurn int       // bytes read in the current interval
}

func (c *slowReaderConn) Read(b []byte) (int, error) {
	pause := c.upload.pause
	if pause == 0 {
		pause = slowReadInterval
	}
	perTurn := max(int(time.Duration(c.upload.rate)*pause/time.Second), 1)
	switch {
	case c.read < c.upload.fast:
	case c.inTurn >= perTurn:
		time.Sleep(time.Until(c.began.Add(pause)))
		fallthrough
	case c.inTurn == 0:
		c.began, c.inTurn = time.Now(), 0
	}
	n, err := c.Conn.Read(b[:min(len(b), perTurn)])
	c.read += n
	c.inTurn += n
	return n, err
}

// start starts a node and the upload's servers, which answer each request when they have read it.
func (u slowUpload) start(t *testing.T) *limitedNode {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err == nil && n == int64(u.size) {
			io.WriteString(w, "ok")
		}
	})
	var hosts []string
	for range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		t.Cleanup(func() { server.Close() })
		go server.Serve(slowListener{ln, u})
		hosts = append(hosts, ln.Addr().String())
	}
	return startNodeWithServers(t, 64, 256, hosts)
}

// wire returns the body as it is sent.
func (u slowUpload) wire() []byte {
	if !u.chunked {
		return make([]byte, u.size)
	}
	var text bytes.Buffer
	chunks := httputil.NewChunkedWriter(&text)
	for left := u.size; left > 0; left -= uploadChunk {
		chunks.Write(make([]byte, min(left, uploadChunk)))
	}
	chunks.Close()
	text.WriteString("\r\n")
	return text.Bytes()
}

// write sends the body and returns when its last byte was written.
func (u slowUpload) write(c net.Conn) (lastByte time.Time) {
	body := u.wire()
	lump := u.lump
	if lump == 0 {
		lump = len(body)
	}
	time.Sleep(u.firstPause)
	for began, sent := time.Now(), 0; sent < len(body); {
		if sent > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / time.Duration(u.clientRate))))
		}
		n, err := c.Write(body[sent:min(sent+lump, len(body))])
		if sent += n; err != nil {
			break
		}
	}
	return time.Now()
}

// send sends the request and returns the status of its answer, and how long after its time it came. The time counts from when the
// client has written the last byte; written is false if the answer came before that.
func (u slowUpload) send(t *testing.T, node *limitedNode) (status int, late time.Duration, written bool, err error) {
	t.Helper()
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Minute))
	framing := fmt.Sprintf("Content-Length: %d", u.size)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: write\r\nX-Call-Id: upload\r\nX-Budget: %dm\r\n%s\r\n\r\n", u.budget.Milliseconds(), framing)
	lastByte := make(chan time.Time, 1)
	go func() { lastByte <- u.write(c) }()
	status, _, err = readStatus(c)
	answered := time.Now()
	select {
	case at := <-lastByte:
		return status, answered.Sub(at.Add(u.budget)), true, err
	default:
		return status, 0, false, err
	}
}

// Guards against an answer that comes long after its time because a server reads a large request slowly: each write to the server had
// a time limit, but all of them together had none. For a chunked body, and for one whose end waits in the client's kernel, the time
// then began again when the last byte was written to the server.
func TestAnswerIsInTimeIfServerReadsSlowly(t *testing.T) {
	for name, upload := range map[string]slowUpload{
		"400 kB, 4 kB":                   {size: 400e3, rate: 16 << 10, budget: 2 * time.Second, receive: 8 << 10},
		"1 MB, 16 kB":                    {size: 1e6, rate: 64 << 10, budget: 3 * time.Second, receive: 64 << 10},
		"4 MB, 64 kB":                    {size: 4e6, rate: 256 << 10, budget: time.Second, receive: 128 << 10},
		"4 MB, 256 kB":                   {size: 4e6, rate: 1 << 20, budget: time.Second, receive: 256 << 10},
		"8 MB, 256 kB":                   {size: 8e6, rate: 1 << 20, budget: time.Second, receive: 256 << 10},
		"16 MB, 512 kB":                  {size: 16e6, rate: 2 << 20, budget: time.Second, receive: 512 << 10},
		"8 MB, 64 kB, autotuned":         {size: 8e6, rate: 256 << 10, budget: 2 * time.Second},
		"24 MB, 512 kB":                  {size: 24e6, rate: 2 << 20, budget: time.Second},
		"32 MB, 128 kB, slow at the end": {size: 32e6, fast: 20e6, rate: 512 << 10, budget: 500 * time.Millisecond},

		"800 kB at 100 kB/s, chunked":        {size: 800144, chunked: true, rate: 101544, budget: 2500 * time.Millisecond, receive: 8 << 10},
		"3 MB at 400 kB/s, chunked":          {size: 3e6, chunked: true, rate: 400e3, pause: 50 * time.Millisecond, budget: 2500 * time.Millisecond, receive: 32 << 10},
		"5 MB at 400 kB/s, chunked":          {size: 5e6, chunked: true, rate: 400e3, pause: 50 * time.Millisecond, budget: 2500 * time.Millisecond, receive: 32 << 10},
		"8 MB at 2 MB/s, chunked":            {size: 8e6, chunked: true, rate: 2e6, pause: 50 * time.Millisecond, budget: 2500 * time.Millisecond, receive: 32 << 10},
		"22 MB at 1 MB/s, chunked":           {size: 22e6, chunked: true, rate: 1e6, pause: 50 * time.Millisecond, budget: 2500 * time.Millisecond},
		"22 MB at 1 MB/s":                    {size: 22e6, rate: 1e6, pause: 50 * time.Millisecond, budget: 2500 * time.Millisecond},
		"22 MB at 1 MB/s, small buffers":     {size: 22e6, rate: 1e6, pause: 50 * time.Millisecond, budget: 2500 * time.Millisecond, receive: 32 << 10},
		"12 MB in reads of 1.2 s, chunked":   {size: 12e6, chunked: true, rate: 1e6, pause: 1200 * time.Millisecond, budget: 2500 * time.Millisecond},
		"6 MB at 800 kB/s, chunked, 0.6 s":   {size: 6e6, chunked: true, rate: 800e3, pause: 100 * time.Millisecond, budget: 600 * time.Millisecond, receive: 32 << 10},
		"slow at the end, chunked":           {size: 32e6, chunked: true, fast: 20e6, rate: 512 << 10, budget: 500 * time.Millisecond},
		"client in lumps, server slower":     {size: 4e6, chunked: true, rate: 200e3, budget: time.Second, receive: 32 << 10, lump: 400e3, clientRate: 600e3},
		"client in lumps, server hangs soon": {size: 2e6, chunked: true, fast: 300e3, rate: 1, budget: 700 * time.Millisecond, receive: 8 << 10, lump: 200e3, clientRate: 400e3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, late, written, err := upload.send(t, upload.start(t))
			t.Logf("status %d, %v after its time, written %v", status, late, written)
			if err != nil || late > lateAnswerSlack {
				t.Errorf("status %d, %v, %v after its time", status, err, late)
			}
		})
	}
}

// Guards against taking a client that pauses within a body for one that has finished it, while a slow server holds up the node.
func TestSoundSlowUploadsAreServed(t *testing.T) {
	for name, upload := range map[string]slowUpload{
		"64 kB/s":                         {size: 300e3, lump: 3200, clientRate: 64e3, rate: 10e6, budget: 2500 * time.Millisecond},
		"64 kB/s, pauses of 1.2 s":        {size: 400e3, lump: 77e3, clientRate: 64e3, rate: 10e6, budget: 2500 * time.Millisecond},
		"64 kB/s, pauses of 1.9 s":        {size: 600e3, lump: 122e3, clientRate: 64e3, rate: 10e6, budget: 2500 * time.Millisecond},
		"pause before the body":           {size: 600e3, firstPause: 1700 * time.Millisecond, rate: 10e6, budget: 2500 * time.Millisecond},
		"server as slow":                  {size: 800e3, lump: 120e3, clientRate: 200e3, rate: 250e3, pause: 50 * time.Millisecond, receive: 16 << 10, budget: 2500 * time.Millisecond},
		"server as slow, short budget":    {size: 800e3, lump: 240e3, clientRate: 200e3, rate: 400e3, pause: 50 * time.Millisecond, receive: 16 << 10, budget: 500 * time.Millisecond},
		"server pauses more than it has":  {size: 2e6, lump: 400e3, clientRate: 400e3, rate: 2e6, pause: 1100 * time.Millisecond, receive: 16 << 10, budget: 600 * time.Millisecond},
		"fast client, fast server":        {size: 24e6, rate: 40e6, pause: 20 * time.Millisecond, budget: 2500 * time.Millisecond},
		"600 kB/s, server reads in lumps": {size: 3e6, lump: 600e3, clientRate: 600e3, rate: 1500e3, pause: 500 * time.Millisecond, receive: 64 << 10, budget: 2500 * time.Millisecond},
	} {
		for _, chunked := range []bool{false, true} {
			upload := upload
			upload.chunked = chunked
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				t.Parallel()
				status, late, _, err := upload.send(t, upload.start(t))
				if err != nil || status != http.StatusOK || late > lateAnswerSlack {
					t.Errorf("status %d, %v, %v after its time", status, err, late)
				}
			})
		}
	}
}
