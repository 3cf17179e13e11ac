package answers

import (
	"strconv"
	"strings"
	"time"
)

// line is one structured line of a log.
type line struct {
	at     time.Time
	fields map[string]string
}

func (l line) event() string { return l.fields["event"] }

func (l line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.fields[name])
	if err != nil {
		return 0 // the field is missing, as it is in lines of other events
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

// parse reads the key=value pairs of a line; ok is false for a line without a time and an
// event, which is none of ours. What stands before the first pair is skipped: collectors
// of logs put names and times there.
func parse(text string) (l line, ok bool) {
	l.fields = make(map[string]string)
	for text != "" {
		text = strings.TrimLeft(text, " \t")
		end := strings.IndexAny(text, "= \t")
		if end < 0 {
			break
		}
		key, separator := text[:end], text[end]
		text = text[end+1:]
		if separator != '=' || !isName(key) {
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

// isName tells whether a key is one that our lines have.
func isName(key string) bool {
	for _, r := range key {
		if r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return false
		}
	}
	return key != ""
}

// cutValue cuts a value, which may be quoted, off the text.
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
