package metrics

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// format renders figures, each as one line without its end.
type format interface {
	tags(class, tenant string) string
	count(b []byte, name, tags string, v, at int64) []byte
	gauge(b []byte, name, tags string, v, at int64) []byte
	timer(b []byte, name, tags string, us uint32, at int64) []byte
}

var formats = map[string]format{"statsd": statsd{}, "influx": influx{}}

// encode writes the bytes of a tag that its format takes for its own, and control characters, as % and two
// hexadecimal digits.
func encode(s, own string) string {
	var b strings.Builder
	for n := 0; s != ""; s = s[n:] {
		var c rune
		c, n = utf8.DecodeRuneInString(s)
		if unicode.IsControl(c) || c == '%' || c == '\\' || strings.ContainsRune(own, c) || c == utf8.RuneError {
			for _, o := range []byte(s[:n]) {
				fmt.Fprintf(&b, "%%%02X", o)
			}
		} else {
			b.WriteRune(c)
		}
	}
	return b.String()
}

func milliseconds(b []byte, us uint32) []byte {
	return strconv.AppendFloat(b, float64(us)/1000, 'f', -1, 64)
}

// statsd is StatsD with the tags of DogStatsD.
type statsd struct{}

func (statsd) tags(class, tenant string) string {
	const own = "|,:#@"
	return "|#class:" + encode(class, own) + ",tenant:" + encode(tenant, own)
}

func (statsd) start(b []byte, name string) []byte {
	return append(append(append(b, prefix...), name...), ':')
}

func (f statsd) count(b []byte, name, tags string, v, _ int64) []byte {
	return append(append(strconv.AppendInt(f.start(b, name), v, 10), "|c"...), tags...)
}

func (f statsd) gauge(b []byte, name, tags string, v, _ int64) []byte {
	return append(append(strconv.AppendInt(f.start(b, name), v, 10), "|g"...), tags...)
}

func (f statsd) timer(b []byte, name, tags string, us uint32, _ int64) []byte {
	return append(append(milliseconds(f.start(b, name), us), "|ms"...), tags...)
}

// influx is InfluxDB's line protocol.
type influx struct{}

func (influx) tags(class, tenant string) string {
	escape := strings.NewReplacer(",", `\,`, "=", `\=`, " ", `\ `)
	return ",class=" + escape.Replace(encode(class, "")) + ",tenant=" + escape.Replace(encode(tenant, ""))
}

func (influx) start(b []byte, name, tags string) []byte {
	return append(append(append(append(b, prefix...), name...), tags...), " value="...)
}

func (f influx) count(b []byte, name, tags string, v, at int64) []byte {
	b = append(strconv.AppendInt(f.start(b, name, tags), v, 10), 'i', ' ')
	return strconv.AppendInt(b, at, 10)
}

func (f influx) gauge(b []byte, name, tags string, v, at int64) []byte {
	return f.count(b, name, tags, v, at)
}

func (f influx) timer(b []byte, name, tags string, us uint32, at int64) []byte {
	b = append(milliseconds(f.start(b, name, tags), us), ' ')
	return strconv.AppendInt(b, at, 10)
}
