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

// RecheckEvery bounds how often a Source looks at the times of its files.
const CheckInterval = time.Second

// Files are the paths of a VM's keys.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Pair is a VM's certificate with the authorities that it trusts.
type Credentials struct {
	Cert  tls.Certificate
	Roots *x509.CertPool
}

// Source gives the keys that its files have now. It is safe for concurrent use.
type Source struct {
	files Files

	mu        sync.Mutex
	pair      *Credentials
	changedAt [3]time.Time
	checkAt   time.Time
}

// NewSource reads the files once and fails if they are not whole.
func NewSource(files Files) (*Source, error) {
	s := &Source{files: files}
	times, err := files.changedAt()
	if err != nil {
		return nil, err
	}
	pair, err := files.load()
	if err != nil {
		return nil, err
	}
	s.pair, s.changedAt = pair, times
	return s, nil
}

// Pair returns the present keys. Files that changed are read again; while they
// are not whole, as in the middle of a rotation, the keys read last are kept.
func (s *Source) Credentials(now time.Time) *Credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.checkAt) {
		return s.pair
	}
	s.checkAt = now.Add(CheckInterval)
	times, err := s.files.changedAt()
	if err != nil || times == s.changedAt {
		return s.pair
	}
	if pair, err := s.files.load(); err == nil {
		s.pair, s.changedAt = pair, times
	}
	return s.pair
}

func (f Files) changedAt() ([3]time.Time, error) {
	var times [3]time.Time
	for i, path := range []string{f.CA, f.Cert, f.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return times, fmt.Errorf("keys: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (f Files) load() (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", f.Cert, f.Key, err)
	}
	authorities, err := os.ReadFile(filepath.Clean(f.CA))
	if err != nil {
		return nil, fmt.Errorf("certificates of authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("certificates of authorities: %w", errors.New("no certificate in "+f.CA))
	}
	return &Credentials{Cert: cert, Roots: roots}, nil
}
