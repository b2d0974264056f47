package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// CheckInterval is the minimum time between two checks of a Source whether its files have
// changed.
const CheckInterval = time.Second

// Files holds the paths of a VM's keys: the certificates of the authorities, and the VM's
// own certificate and private key.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Credentials holds a VM's certificate and the authorities that it trusts.
type Credentials struct {
	Cert  tls.Certificate
	Roots *x509.CertPool
}

// Source loads credentials from files and reloads them after the files change. It is safe
// for concurrent use.
type Source struct {
	files Files

	mu          sync.Mutex
	credentials *Credentials
	modTimes    [3]time.Time
	nextCheck   time.Time
}

// NewSource loads the files. It returns an error if one is missing or invalid.
func NewSource(files Files) (*Source, error) {
	s := &Source{files: files}
	times, err := files.modTimes()
	if err != nil {
		return nil, err
	}
	credentials, err := files.load()
	if err != nil {
		return nil, err
	}
	s.credentials, s.modTimes = credentials, times
	return s, nil
}

// Credentials returns the current credentials. If the files have changed, it reloads them.
// If they cannot be loaded, as in the middle of a rotation, it returns the previous ones.
func (s *Source) Credentials(now time.Time) *Credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextCheck) {
		return s.credentials
	}
	s.nextCheck = now.Add(CheckInterval)
	times, err := s.files.modTimes()
	if err != nil || times == s.modTimes {
		return s.credentials
	}
	if credentials, err := s.files.load(); err == nil {
		s.credentials, s.modTimes = credentials, times
	}
	return s.credentials
}

func (f Files) modTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for i, path := range []string{f.CA, f.Cert, f.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return times, fmt.Errorf("check keys: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (f Files) load() (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w", f.Cert, f.Key, err)
	}
	authorities, err := os.ReadFile(filepath.Clean(f.CA))
	if err != nil {
		return nil, fmt.Errorf("read certificates of authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("load certificates of authorities: %w", errors.New("no certificate in "+f.CA))
	}
	return &Credentials{Cert: cert, Roots: roots}, nil
}
