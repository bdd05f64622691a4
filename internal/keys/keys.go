// Package keys generates and loads the keys and certificates with which nodes
// authenticate each other.
//
// A certificate authority of the operators signs one certificate per node, with
// the name of the node as common name. Nodes connect to each other by IP address
// and may be replaced on other VMs at any time, so a peer is verified against the
// authority and not against its address.
//
// # Usage
//
//	err := keys.Generate(dir, []string{"node-1", "node-2"})
//	source := &keys.Files{CA: "ca.pem", Cert: "node-1.pem", Key: "node-1.key"}
//	err = source.Load()
//
// Each call of Load reads the files again, for example on a signal or a timer.
// Established connections are not affected.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	nodeValidity      = 2 * 365 * 24 * time.Hour
	clockSkew         = time.Hour
	keyMode           = 0o600
	certMode          = 0o644
	dirMode           = 0o700
	serialBits        = 120
)

type (
	// Files holds the paths of the files of one node and the credentials loaded
	// last.
	Files struct {
		CA   string // certificates of the authority, PEM
		Cert string // the node's certificate, PEM
		Key  string // the node's private key, PEM

		loaded atomic.Pointer[credentials]
	}

	credentials struct {
		cert tls.Certificate
		pool *x509.CertPool
	}

	// Error reports a key or certificate that can't be used.
	Error struct {
		File string
		Err  error
	}
)

// Error returns the file and the cause.
func (e *Error) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads the files. On an error the credentials loaded before stay in use.
func (f *Files) Load() error {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return &Error{File: f.Cert, Err: err}
	}
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return &Error{File: f.CA, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return &Error{File: f.CA, Err: errNoCertificate}
	}
	f.loaded.Store(&credentials{cert: cert, pool: pool})
	return nil
}

// Name returns the node name in the loaded certificate. It is empty before Load.
func (f *Files) Name() string {
	p := f.loaded.Load()
	if p == nil || p.cert.Leaf == nil {
		return ""
	}
	return p.cert.Leaf.Subject.CommonName
}

// Expires returns the expiry time of the loaded certificate. It is zero before
// Load.
func (f *Files) Expires() time.Time {
	p := f.loaded.Load()
	if p == nil || p.cert.Leaf == nil {
		return time.Time{}
	}
	return p.cert.Leaf.NotAfter
}

// Server returns a TLS configuration that requires a client certificate signed by
// the authority.
func (f *Files) Server() *tls.Config {
	p := f.loaded.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    p.pool,
	}
}

// Client returns a TLS configuration that verifies the certificate chain of the
// server up to the authority.
func (f *Files) Client() *tls.Config {
	p := f.loaded.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		// VerifyConnection verifies the chain. Only the host name is not
		// verified because nodes connect by IP address.
		InsecureSkipVerify: true,
		VerifyConnection:   func(c tls.ConnectionState) error { return verify(c, p.pool) },
	}
}

// verify verifies the certificate chain of a server.
func verify(c tls.ConnectionState, pool *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return &Error{File: "peer", Err: errNoCertificate}
	}
	intermediates := x509.NewCertPool()
	for _, p := range c.PeerCertificates[1:] {
		intermediates.AddCert(p)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &Error{File: "peer", Err: err}
	}
	return nil
}

// Generate creates a new certificate authority (ca.pem, ca.key) and, for each
// name, a certificate and key (NAME.pem, NAME.key), and writes them to dir.
func Generate(dir string, names []string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(&Error{File: dir, Err: err}, "generate keys")
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{File: "ca.key", Err: err}
	}
	ca := certTemplate("guavapaddle authority", authorityValidity)
	ca.IsCA, ca.BasicConstraintsValid = true, true
	ca.KeyUsage = x509.KeyUsageCertSign
	if err := writeKeyPair(dir, "ca", ca, ca, caKey, caKey); err != nil {
		return err
	}
	for _, n := range names {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return &Error{File: n + ".key", Err: err}
		}
		t := certTemplate(n, nodeValidity)
		t.KeyUsage = x509.KeyUsageDigitalSignature
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		if err := writeKeyPair(dir, n, t, ca, k, caKey); err != nil {
			return err
		}
	}
	return nil
}

func certTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand never returns an error
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}
}

// writeKeyPair creates a certificate from t, signed by parent, and writes it and
// its key to NAME.pem and NAME.key in dir.
func writeKeyPair(dir, name string, t, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	if err != nil {
		return &Error{File: name + ".pem", Err: err}
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return &Error{File: name + ".key", Err: err}
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", der, certMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", keyDER, keyMode)
}

func writePEM(file, blockType string, der []byte, mode os.FileMode) error {
	b := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(file, b, mode); err != nil {
		return &Error{File: file, Err: err}
	}
	return nil
}

// noCertificateError is the cause of an Error for a file or peer without a
// certificate.
type noCertificateError struct{}

var errNoCertificate = noCertificateError{}

// Error returns a fixed text.
func (noCertificateError) Error() string { return "no certificate" }
