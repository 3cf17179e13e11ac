package peer

import "connectrpc.com/connect"

// MaxMessageBytes is the maximum size of a message between processes.
const MaxMessageBytes = 8 << 20

// HandlerOptions returns the options that all handlers of peer calls use. Compression is disabled:
// messages are small, and each compressor holds more than a megabyte, several times the memory that a
// controller needs otherwise.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompression("gzip", nil, nil),
	)
}
