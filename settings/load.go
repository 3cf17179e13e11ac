package settings

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/tomlcheck"
)

// ExitCode is the exit code of a process whose settings are invalid.
const ExitCode = 2

// Problem describes one mistake in a settings file.
type Problem = tomlcheck.Problem

// Problems is an error that lists every mistake in a settings file.
type Problems = tomlcheck.Problems

// minHandleKeyBytes is the minimum length of a key that signs resume handles.
const minHandleKeyBytes = 32

// LoadGateway reads and checks a gateway's settings file. A non-nil error is of type Problems unless
// the file cannot be read.
func LoadGateway(path string) (*Gateway, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(path, text)
}

// ParseGateway is LoadGateway for text that has already been read. Problems refer to it as file.
func ParseGateway(file, text string) (*Gateway, error) {
	g := new(Gateway)
	problems := tomlcheck.Load(file, text, g)
	checkHandleKeys(file, g.HandleKeys, &problems)
	checkDistinct(file, &problems, "peer_address", g.PeerAddress, "caller_address", g.CallerAddress)
	checkDistinct(file, &problems, "controller_address", g.ControllerAddress, "peer_address", g.PeerAddress)
	checkDistinct(file, &problems, "controller_address", g.ControllerAddress, "caller_address", g.CallerAddress)
	checkServerTLS(file, "caller_tls", g.CallerTLS, &problems)
	checkMutualTLS(file, "peer_tls", g.PeerTLS, &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return g, nil
}

// LoadController reads and checks a controller's settings file. A non-nil error is of type Problems
// unless the file cannot be read.
func LoadController(path string) (*Controller, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseController(path, text)
}

// ParseController is LoadController for text that has already been read. Problems refer to it as file.
func ParseController(file, text string) (*Controller, error) {
	c := new(Controller)
	problems := tomlcheck.Load(file, text, c)
	checkDistinct(file, &problems, "operator_address", c.OperatorAddress, "peer_address", c.PeerAddress)
	checkDistinct(file, &problems, "peer_listen", c.PeerListen, "operator_address", c.OperatorAddress)
	checkServerTLS(file, "operator_tls", c.OperatorTLS, &problems)
	checkMutualTLS(file, "peer_tls", c.PeerTLS, &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func readFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read settings file")
	}
	return string(text), nil
}

// checkHandleKeys reports malformed keys and duplicate key names. The problems never contain a key,
// since they are written to logs.
func checkHandleKeys(file string, keys []string, problems *Problems) {
	names := make(map[string]bool, len(keys))
	for _, key := range keys {
		name, hexSecret, found := strings.Cut(key, ":")
		secret, err := hex.DecodeString(hexSecret)
		if !found || name == "" || err != nil || len(secret) < minHandleKeyBytes {
			problems.Add(file, "handle_keys", "a malformed entry (not shown)", `"name:hex" with at least 32 bytes in hex`)
			continue
		}
		if names[name] {
			problems.Add(file, "handle_keys", "two keys named "+name, "a unique name for each key")
		}
		names[name] = true
	}
}

// checkDistinct reports two address settings with the same value.
func checkDistinct(file string, problems *Problems, key, value, otherKey, other string) {
	if value != "" && value == other {
		problems.Add(file, key, value+", which is also "+otherKey, "an address of its own")
	}
}

// checkServerTLS checks the TLS files of a listener that requires client certificates only if a CA
// file is set.
func checkServerTLS(file, key string, t TLS, problems *Problems) {
	complete := t.CertFile != "" && t.KeyFile != ""
	if t != (TLS{}) && !complete {
		problems.Add(file, key, "cert_file and key_file not both set", "both, or an empty table")
	}
	checkReadable(file, key, t, problems)
}

// checkMutualTLS checks the TLS files of a listener with mutual authentication. Without the CA file
// anyone could pose as a peer, so either all three files or none must be set.
func checkMutualTLS(file, key string, t TLS, problems *Problems) {
	set := 0
	for _, f := range []string{t.CertFile, t.KeyFile, t.CAFile} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		problems.Add(file, key, "only some of cert_file, key_file and ca_file", "all three or none")
	}
	checkReadable(file, key, t, problems)
}

func checkReadable(file, key string, t TLS, problems *Problems) {
	files := []struct{ key, path string }{
		{"cert_file", t.CertFile}, {"key_file", t.KeyFile}, {"ca_file", t.CAFile},
	}
	for _, f := range files {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			problems.Add(file, key+"."+f.key, f.path+", which cannot be read", "a readable file")
		}
	}
}
