package peers

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/members"
)

// KeyError says that a key file can't be used.
type KeyError struct {
	File string
	Err  error
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key file %s: %v: it has one key of 16, 24 or 32 bytes a line, in base64, the one to send with first; the keys that were read before stay in use", e.File, e.Err)
}
func (e *KeyError) Unwrap() error { return e.Err }

// mostKeys is how many keys are valid side by side.
const mostKeys = 8

// ReadKeys reads a key file. The first key is the one that is sent with, all of them are understood.
func ReadKeys(file string) (keys [][]byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &KeyError{file, err}
	}
	for n, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			return nil, &KeyError{file, fmt.Errorf("line %d: %w", n+1, err)}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > mostKeys {
		return nil, &KeyError{file, fmt.Errorf("%d keys, from 1 to %d are wanted", len(keys), mostKeys)}
	}
	return keys, nil
}

// wire is the library's own transport, with addresses as they are reached from here.
type wire struct {
	*memberlist.NetTransport
	via     map[string]string // where a peer's address is reached from here, if elsewhere
	bytes   atomic.Int64      // sent in packets
	packets atomic.Int64
	streams atomic.Int64 // bytes both ways, on streams that this node opened
}

func (w *wire) at(addr string) string {
	if to, ok := w.via[addr]; ok {
		return to
	}
	return addr
}

// WriteTo sends a packet.
func (w *wire) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet.
func (w *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	w.bytes.Add(int64(len(b)))
	w.packets.Add(1)
	return w.NetTransport.WriteTo(b, w.at(a.Addr))
}

// DialTimeout opens a stream.
func (w *wire) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a stream.
func (w *wire) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	conn, err := w.NetTransport.DialTimeout(w.at(a.Addr), timeout)
	if err != nil {
		return nil, err
	}
	return &countedStream{conn, &w.streams}, nil
}

// countedStream counts the bytes of a stream, both ways.
type countedStream struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedStream) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedStream) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// meta is what a node tells of itself beside its name and address.
type meta struct {
	Start uint64 `json:"s"`
	Nonce uint64 `json:"n"`
	Site  string `json:"w"`
}

func (m meta) life(name string) members.Life {
	return members.Life{Name: name, Start: m.Start, Nonce: m.Nonce}
}

// note is a word on its way: whoever hears it first hands it on.
type note struct {
	V    int // version of the form
	Seq  uint64
	Bye  bool // the node leaves
	Word members.Word
}

// Bounds of what is sent and taken.
const (
	noteVersion = 1
	mostNote    = 1200 // bytes, of a packet of 1400
	mostName    = 128
	mostMeta    = 512
)

// Why a note is not believed.
var (
	errTooLong = errors.New("too long")
	errOther   = errors.New("of another version")
	errNoName  = errors.New("without a name that can be")
)

// MalformedError says that a peer has sent what can't be read.
type MalformedError struct {
	Err   error
	Count int64 // of such messages so far
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("a peer sent what can't be read (%v; %d so far), and nothing of it was believed: look whether all nodes run builds that fit", e.Err, e.Count)
}
func (e *MalformedError) Unwrap() error { return e.Err }

func sane(name string) bool { return name != "" && len(name) <= mostName }

// parseNote reads a note strictly: what is too long, of another version or without a name is none.
func parseNote(b []byte) (n note, err error) {
	if len(b) > mostNote {
		return n, errTooLong
	}
	if err := json.Unmarshal(b, &n); err != nil {
		return n, err
	}
	if n.V != noteVersion {
		return n, errOther
	}
	if !sane(n.Word.From.Name) || !sane(n.Word.Site) || len(n.Word.Claims) > members.MostClaims {
		return n, errNoName
	}
	for _, l := range n.Word.Claims {
		if !sane(l.Name) {
			return n, errNoName
		}
	}
	return n, nil
}

func parseMeta(b []byte) (m meta, err error) {
	if len(b) > mostMeta {
		return m, errTooLong
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, err
	}
	if !sane(m.Site) {
		return m, errNoName
	}
	return m, nil
}
