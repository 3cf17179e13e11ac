package answers

import (
	"strconv"
	"strings"
	"time"
)

// line is a structured log line.
type line struct {
	at     time.Time
	fields map[string]string
	// dataCentre is that of the node that wrote the line, empty if it is not known.
	dataCentre string
}

func (l line) event() string { return l.fields["event"] }

func (l line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.fields[name])
	if err != nil {
		return 0 // The field is missing, as it is in lines of other events.
	}
	return d
}

func (l line) number(name string) int {
	n, err := strconv.Atoi(l.fields[name])
	if err != nil {
		return 0
	}
	return n
}

// parseLine parses the key=value pairs of a line. ok is false if the line lacks a valid time or an
// event and was therefore not written by a node. Text before the first pair is skipped, because log
// collectors add names and times there.
func parseLine(text string) (l line, ok bool) {
	l.fields = make(map[string]string)
	for text != "" {
		text = strings.TrimLeft(text, " \t")
		end := strings.IndexAny(text, "= \t")
		if end < 0 {
			break
		}
		key, separator := text[:end], text[end]
		text = text[end+1:]
		if separator != '=' || !isFieldName(key) {
			continue
		}
		var value string
		value, text = cutValue(text)
		l.fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at = at
	return l, err == nil && l.event() != ""
}

// isFieldName reports whether key has the form of a field name in the log of a node: ASCII letters and
// underscores only.
func isFieldName(key string) bool {
	for _, r := range key {
		if r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return false
		}
	}
	return key != ""
}

// cutValue splits text after its leading value, which may be quoted, and unquotes the value.
func cutValue(text string) (value, rest string) {
	if strings.HasPrefix(text, `"`) {
		if quoted, err := strconv.QuotedPrefix(text); err == nil {
			if plain, err := strconv.Unquote(quoted); err == nil {
				return plain, text[len(quoted):]
			}
		}
	}
	end := strings.IndexAny(text, " \t")
	if end < 0 {
		return text, ""
	}
	return text[:end], text[end:]
}
