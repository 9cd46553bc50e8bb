package metrics

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// format renders metrics. Each method except tags appends one line, without its line end, to b. name is without namePrefix,
// tags is the result of the method tags, and at is the Unix time in ns.
type format interface {
	tags(class, tenant string) string
	count(b []byte, name, tags string, v, at int64) []byte
	gauge(b []byte, name, tags string, v, at int64) []byte
	timer(b []byte, name, tags string, us uint32, at int64) []byte
}

// formats maps the names in the settings to formats.
var formats = map[string]format{"statsd": statsd{}, "influx": influx{}}

// percentEncode encodes the reserved characters of a format, control characters, the backslash, the percent sign and bytes
// that are not valid UTF-8: each byte becomes % and two hexadecimal digits.
func percentEncode(s, reserved string) string {
	var encoded strings.Builder
	for size := 0; s != ""; s = s[size:] {
		var char rune
		char, size = utf8.DecodeRuneInString(s)
		if !unicode.IsControl(char) && char != '%' && char != '\\' && char != utf8.RuneError && !strings.ContainsRune(reserved, char) {
			encoded.WriteRune(char)
			continue
		}
		for _, octet := range []byte(s[:size]) {
			fmt.Fprintf(&encoded, "%%%02X", octet)
		}
	}
	return encoded.String()
}

// appendMilliseconds appends a number of microseconds as milliseconds, with as many decimals as needed.
func appendMilliseconds(b []byte, us uint32) []byte {
	const microsecondsPerMillisecond = 1000 // StatsD timers are in ms
	return strconv.AppendFloat(b, float64(us)/microsecondsPerMillisecond, 'f', -1, 64)
}

// statsd is the StatsD line format with DogStatsD tags. It has no timestamps.
type statsd struct{}

// statsdReserved are the separators of a StatsD line with tags. The format has no escape sequence for them.
const statsdReserved = "|,:#@"

func (statsd) tags(class, tenant string) string {
	return "|#class:" + percentEncode(class, statsdReserved) + ",tenant:" + percentEncode(tenant, statsdReserved)
}

func (statsd) start(b []byte, name string) []byte {
	return append(append(append(b, namePrefix...), name...), ':')
}

func (f statsd) count(b []byte, name, tags string, v, _ int64) []byte {
	return append(append(strconv.AppendInt(f.start(b, name), v, 10), "|c"...), tags...)
}

func (f statsd) gauge(b []byte, name, tags string, v, _ int64) []byte {
	return append(append(strconv.AppendInt(f.start(b, name), v, 10), "|g"...), tags...)
}

func (f statsd) timer(b []byte, name, tags string, us uint32, _ int64) []byte {
	return append(append(appendMilliseconds(f.start(b, name), us), "|ms"...), tags...)
}

// influx is InfluxDB's line protocol.
type influx struct{}

func (influx) tags(class, tenant string) string {
	escape := strings.NewReplacer(",", `\,`, "=", `\=`, " ", `\ `)
	return ",class=" + escape.Replace(percentEncode(class, "")) + ",tenant=" + escape.Replace(percentEncode(tenant, ""))
}

func (influx) start(b []byte, name, tags string) []byte {
	return append(append(append(append(b, namePrefix...), name...), tags...), " value="...)
}

func (f influx) count(b []byte, name, tags string, v, at int64) []byte {
	b = append(strconv.AppendInt(f.start(b, name, tags), v, 10), 'i', ' ')
	return strconv.AppendInt(b, at, 10)
}

func (f influx) gauge(b []byte, name, tags string, v, at int64) []byte {
	return f.count(b, name, tags, v, at)
}

func (f influx) timer(b []byte, name, tags string, us uint32, at int64) []byte {
	b = append(appendMilliseconds(f.start(b, name, tags), us), ' ')
	return strconv.AppendInt(b, at, 10)
}
