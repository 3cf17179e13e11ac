// Package logging builds the logger of a process, which writes one line of key=value pairs per
// event.
package logging

import (
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard output and never blocks on the reader of the log.
// Its Sync method waits a bounded time for queued lines. Level is the name of a zap level: debug,
// info, warn or error. An unknown level is an error.
func New(level, program, vm string) (*zap.Logger, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrapf(err, "parse log level %q", level)
	}
	core := zapcore.NewCore(newEncoder(), newAsyncWriter(os.Stdout), l)
	return zap.New(core).With(zap.String("program", program), zap.String("vm", vm)), nil
}

// FingerprintField returns the log field with the fingerprint of the content of a request. The
// fingerprint does not depend on the idempotency key, so that it stays the same when a caller sends
// the same content again under another key.
func FingerprintField(fingerprint uint64) zap.Field {
	return zap.String("work", strconv.FormatUint(fingerprint, 16))
}
