package logging

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

var bufferPool = buffer.NewPool()

// pairEncoder encodes an entry as key=value pairs. Fields are collected by the map encoder of zap,
// which supports every field type.
type pairEncoder struct {
	*zapcore.MapObjectEncoder
}

func newEncoder() zapcore.Encoder {
	return &pairEncoder{zapcore.NewMapObjectEncoder()}
}

// Clone implements zapcore.Encoder.
func (e *pairEncoder) Clone() zapcore.Encoder {
	c := zapcore.NewMapObjectEncoder()
	for k, v := range e.Fields {
		c.Fields[k] = v
	}
	return &pairEncoder{c}
}

// EncodeEntry implements zapcore.Encoder.
func (e *pairEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	all := e.Clone().(*pairEncoder)
	for _, f := range fields {
		f.AddTo(all)
	}
	buf := bufferPool.Get()
	writePair(buf, "time", entry.Time.UTC().Format(time.RFC3339Nano))
	writePair(buf, "level", entry.Level.String())
	writePair(buf, "event", entry.Message)
	for _, k := range sortedKeys(all.Fields) {
		writePair(buf, k, fmt.Sprint(all.Fields[k]))
	}
	buf.AppendByte('\n')
	return buf, nil
}

func sortedKeys(fields map[string]any) []string {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// writePair appends a key=value pair. A value that is empty or contains a space, a control
// character, a double quote, an equals sign or a line break is quoted, so that a malicious value
// cannot forge another pair or line.
func writePair(buf *buffer.Buffer, key, value string) {
	if buf.Len() > 0 {
		buf.AppendByte(' ')
	}
	buf.AppendString(key)
	buf.AppendByte('=')
	if value == "" || strings.ContainsFunc(value, needsQuote) {
		value = strconv.Quote(value)
	}
	buf.AppendString(value)
}

func needsQuote(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == 0x7f || r == 0x2028
}
