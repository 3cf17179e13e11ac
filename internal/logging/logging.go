// Package logging builds the log of a process: one line of key=value pairs for
// each event.
package logging

import (
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard output without ever waiting for the
// reader of the log; Sync waits for queued lines. Level is debug, info, warn
// or error; anything else is an error.
func New(level, program, vm string) (*zap.Logger, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	core := zapcore.NewCore(newEncoder(), newAsyncWriter(os.Stdout), l)
	return zap.New(core).With(zap.String("program", program), zap.String("vm", vm)), nil
}

// Work is the field that names the content of a request, which stays the same under each
// key that its caller sends it with.
func Work(fingerprint uint64) zap.Field {
	return zap.String("work", strconv.FormatUint(fingerprint, 16))
}
