package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

// The names of the authority's files in a directory of keys.
const (
	AuthorityCert = "ca.pem"
	AuthorityKey  = "ca-key.pem"
)

const (
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 365 * 24 * time.Hour
	// startMargin lets certificates be used by VMs whose clock is behind.
	startMargin  = time.Hour
	certBlock    = "CERTIFICATE"
	keyBlock     = "EC PRIVATE KEY"
	acceptedName = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit"
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// NameError reports a name that a certificate cannot have.
type NameError struct{ Name string }

// Error says which names are accepted.
func (e *NameError) Error() string {
	return fmt.Sprintf("name %q: accepted are %s", e.Name, acceptedName)
}

// authority is a certificate that signs others.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// CertFile returns the path of the certificate of name in dir.
func CertFile(dir, name string) string { return filepath.Join(dir, name+".pem") }

// KeyFile returns the path of the private key of name in dir.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+"-key.pem") }

// Make writes a certificate and a key for each name into dir, signed by the
// authority in dir, which it makes first if there is none. A second call for
// the same name replaces the name's files.
func Issue(dir string, names []string, now time.Time) error {
	if len(names) == 0 {
		return errors.New("no names given: name at least one entry VM")
	}
	for _, name := range names {
		if !nameForm.MatchString(name) || name == "ca" {
			return &NameError{Name: name}
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("directory of keys: %w", err)
	}
	issuer, err := loadAuthority(dir)
	if errors.Is(err, fs.ErrNotExist) {
		issuer, err = makeAuthority(dir, now)
	}
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := issuer.issue(dir, name, now); err != nil {
			return fmt.Errorf("certificate of %s: %w", name, err)
		}
	}
	return nil
}

func loadAuthority(dir string) (*authority, error) {
	certBytes, err := readBlock(filepath.Join(dir, AuthorityCert), certBlock)
	if err != nil {
		return nil, err
	}
	keyBytes, err := readBlock(filepath.Join(dir, AuthorityKey), keyBlock)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certBytes)
	if err != nil {
		return nil, fmt.Errorf("certificate of the authority: %w", err)
	}
	key, err := x509.ParseECPrivateKey(keyBytes)
	if err != nil {
		return nil, fmt.Errorf("key of the authority: %w", err)
	}
	return &authority{cert: cert, key: key}, nil
}

func makeAuthority(dir string, now time.Time) (*authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "tanagerstack development authority"},
		NotBefore:             now.Add(-startMargin),
		NotAfter:              now.Add(authorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, der, err := sign(template, nil)
	if err != nil {
		return nil, err
	}
	certPath, keyPath := filepath.Join(dir, AuthorityCert), filepath.Join(dir, AuthorityKey)
	if err := writePair(certPath, keyPath, der, key); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certificate of the authority: %w", err)
	}
	return &authority{cert: cert, key: key}, nil
}

func (a *authority) issue(dir, name string, now time.Time) error {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-startMargin),
		NotAfter:    now.Add(certificateLife),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, der, err := sign(template, a)
	if err != nil {
		return err
	}
	return writePair(CertFile(dir, name), KeyFile(dir, name), der, key)
}

// sign makes a key and a certificate for it, signed by issuer, or by itself
// without one.
func sign(template *x509.Certificate, issuer *authority) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("new key: %w", err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, nil, fmt.Errorf("serial number: %w", err)
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, fmt.Errorf("new certificate: %w", err)
	}
	return key, der, nil
}

func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("key: %w", err)
	}
	if err := replaceFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER})); err != nil {
		return err
	}
	return replaceFile(certPath, pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der}))
}

// replaceFile writes path through a rename, so that a reader never sees half of it.
func replaceFile(path string, data []byte) error {
	fresh := path + ".new"
	if err := os.WriteFile(fresh, data, 0o600); err != nil {
		return fmt.Errorf("writing keys: %w", err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return fmt.Errorf("writing keys: %w", err)
	}
	return nil
}

func readBlock(path, kind string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return nil, fmt.Errorf("reading keys: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("file %s has no PEM block of type %s", path, kind)
	}
	return block.Bytes, nil
}
