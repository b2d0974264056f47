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

// File names of the certificate authority in a directory of keys.
const (
	AuthorityCert = "ca.pem"
	AuthorityKey  = "ca-key.pem"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	// clockSkewMargin backdates certificates, so that VMs whose clock is behind accept them.
	clockSkewMargin = time.Hour
	certBlock       = "CERTIFICATE"
	keyBlock        = "EC PRIVATE KEY"
	acceptedNames   = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// NameError reports a name for which no certificate can be issued.
type NameError struct{ Name string }

// Error returns the rejected name and the accepted form.
func (e *NameError) Error() string {
	return fmt.Sprintf("invalid name %q: want %s", e.Name, acceptedNames)
}

// authority is a certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// CertFile returns the path in dir of the certificate for name.
func CertFile(dir, name string) string { return filepath.Join(dir, name+".pem") }

// KeyFile returns the path in dir of the private key for name.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+"-key.pem") }

// Issue writes a certificate and a private key for each name to dir, signed by the
// certificate authority in dir. It creates dir and the authority if they do not exist.
// Existing files of a name are replaced. The error is a *NameError if a name is invalid;
// then nothing is written.
func Issue(dir string, names []string, now time.Time) error {
	if len(names) == 0 {
		return errors.New("no names given: at least one entry VM name is required")
	}
	for _, name := range names {
		if !namePattern.MatchString(name) || name == "ca" {
			return &NameError{Name: name}
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create directory of keys: %w", err)
	}
	issuer, err := loadAuthority(dir)
	if errors.Is(err, fs.ErrNotExist) {
		issuer, err = createAuthority(dir, now)
	}
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := issuer.issue(dir, name, now); err != nil {
			return fmt.Errorf("issue certificate for %s: %w", name, err)
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
		return nil, fmt.Errorf("parse certificate of the authority: %w", err)
	}
	key, err := x509.ParseECPrivateKey(keyBytes)
	if err != nil {
		return nil, fmt.Errorf("parse key of the authority: %w", err)
	}
	return &authority{cert: cert, key: key}, nil
}

func createAuthority(dir string, now time.Time) (*authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "tanagerstack development authority"},
		NotBefore:             now.Add(-clockSkewMargin),
		NotAfter:              now.Add(authorityValidity),
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
		return nil, fmt.Errorf("parse certificate of the authority: %w", err)
	}
	return &authority{cert: cert, key: key}, nil
}

func (a *authority) issue(dir, name string, now time.Time) error {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-clockSkewMargin),
		NotAfter:    now.Add(certificateValidity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, der, err := sign(template, a)
	if err != nil {
		return err
	}
	return writePair(CertFile(dir, name), KeyFile(dir, name), der, key)
}

// sign generates a key and a certificate for it. The certificate is signed by issuer, or
// self-signed if issuer is nil.
func sign(template *x509.Certificate, issuer *authority) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key: %w", err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, nil, fmt.Errorf("generate serial number: %w", err)
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, fmt.Errorf("create certificate: %w", err)
	}
	return key, der, nil
}

func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := replaceFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER})); err != nil {
		return err
	}
	return replaceFile(certPath, pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der}))
}

// replaceFile replaces the file atomically by a rename, so that readers never see a partly
// written file.
func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return fmt.Errorf("write keys: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("write keys: %w", err)
	}
	return nil
}

func readBlock(path, kind string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("file %s has no PEM block of type %s", path, kind)
	}
	return block.Bytes, nil
}
