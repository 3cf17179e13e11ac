// Package tlsreload provides TLS listeners and clients whose certificates and authorities are
// reloaded when their files change, so that they can be renewed without a restart.
package tlsreload

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/settings"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Source holds the certificate, key and authorities of one listener and of the clients that connect
// to its peers. It is safe for concurrent use. A nil Source means no TLS: Listener, HTTPClient and
// Config accept a nil receiver.
type Source struct {
	files settings.TLS

	// mu guards the fields below.
	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	current   *credentials
}

// fileStamp is the modification time and size of a file. A different fileStamp means that the file
// has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// credentials is the parsed content of the files. It is immutable. caPool is nil if there is no CA
// file.
type credentials struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
	server      *tls.Config
}

// New reads the files. It returns a nil Source if files is empty.
func New(files settings.TLS) (*Source, error) {
	if files == (settings.TLS{}) {
		return nil, nil
	}
	s := &Source{files: files}
	stamps, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	s.current, err = s.readFiles()
	if err != nil {
		return nil, err
	}
	s.stamps, s.checkedAt = stamps, time.Now()
	return s, nil
}

// currentCredentials returns the current credentials and reloads the files first if they have
// changed. If they cannot be read, for example while they are being replaced, the previous
// credentials stay in use and the next check tries again.
func (s *Source) currentCredentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < checkInterval {
		return s.current
	}
	s.checkedAt = time.Now()
	stamps, err := s.statFiles()
	if err == nil && stamps == s.stamps {
		return s.current
	}
	var next *credentials
	if err == nil {
		next, err = s.readFiles()
	}
	if err != nil {
		metrics.Count("tls_reload_failed")
		return s.current
	}
	metrics.Count("tls_reloaded")
	s.current, s.stamps = next, stamps
	return next
}

func (s *Source) statFiles() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, eris.Wrap(err, "stat TLS file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *Source) readFiles() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate and key")
	}
	creds := &credentials{certificate: certificate}
	if s.files.CAFile != "" {
		pem, err := os.ReadFile(s.files.CAFile)
		if err != nil {
			return nil, eris.Wrap(err, "read authority")
		}
		creds.caPool = x509.NewCertPool()
		if !creds.caPool.AppendCertsFromPEM(pem) {
			return nil, eris.Errorf("%s holds no certificate", s.files.CAFile)
		}
	}
	creds.server = creds.serverConfig()
	return creds, nil
}
