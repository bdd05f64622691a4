// Package keys makes and loads the keys and certificates with which nodes
// prove to each other who they are.
//
// An authority of the operators signs one certificate a node. The certificate
// names the node as its common name. Nodes reach each other by IP address and
// are replaced on other VMs at any time, so the name is checked against the
// authority, not against the address.
//
// # Usage
//
//	err := keys.Generate(dir, []string{"node-1", "node-2"})
//	source := &keys.Files{CA: "ca.pem", Cert: "node-1.pem", Key: "node-1.key"}
//	err = source.Load()
//
// Files are read again when Load is called, at a signal or on a timer; running
// connections go on.
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
	authorityLife = 10 * 365 * 24 * time.Hour
	nodeLife      = 2 * 365 * 24 * time.Hour
	clockSkew     = time.Hour
	keyMode       = 0o600
	certMode      = 0o644
	dirMode       = 0o700
	serialBits    = 120
)

type (
	// Files names the files of one node and holds what was last loaded.
	Files struct {
		CA   string // certificates of the authority, PEM
		Cert string // the node's certificate, PEM
		Key  string // the node's private key, PEM

		loaded atomic.Pointer[pair]
	}

	pair struct {
		cert tls.Certificate
		pool *x509.CertPool
	}

	// Error is a key or certificate that can't be used.
	Error struct {
		File string
		Err  error
	}
)

// Error returns file and cause in one line.
func (e *Error) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads the files. On an error what was loaded before stays in use.
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
	f.loaded.Store(&pair{cert: cert, pool: pool})
	return nil
}

// Name returns the node name in the loaded certificate, empty before Load.
func (f *Files) Name() string {
	p := f.loaded.Load()
	if p == nil || p.cert.Leaf == nil {
		return ""
	}
	return p.cert.Leaf.Subject.CommonName
}

// Expires returns when the loaded certificate ends, the zero time before Load.
func (f *Files) Expires() time.Time {
	p := f.loaded.Load()
	if p == nil || p.cert.Leaf == nil {
		return time.Time{}
	}
	return p.cert.Leaf.NotAfter
}

// Server returns settings that demand a certificate of the authority.
func (f *Files) Server() *tls.Config {
	p := f.loaded.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    p.pool,
	}
}

// Client returns settings that check the peer's chain up to the authority.
func (f *Files) Client() *tls.Config {
	p := f.loaded.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		// The chain is verified below; only the host name is not, since
		// nodes are reached by IP address.
		InsecureSkipVerify: true,
		VerifyConnection:   func(c tls.ConnectionState) error { return verify(c, p.pool) },
	}
}

// verify checks the chain of a peer that was dialled.
func verify(c tls.ConnectionState, pool *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return &Error{File: "peer", Err: errNoCertificate}
	}
	between := x509.NewCertPool()
	for _, p := range c.PeerCertificates[1:] {
		between.AddCert(p)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &Error{File: "peer", Err: err}
	}
	return nil
}

// Generate writes a new authority (ca.pem, ca.key) and a pair NAME.pem and
// NAME.key for each name into dir.
func Generate(dir string, names []string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(&Error{File: dir, Err: err}, "generate keys")
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{File: "ca.key", Err: err}
	}
	ca := template("guavapaddle authority", authorityLife)
	ca.IsCA, ca.BasicConstraintsValid = true, true
	ca.KeyUsage = x509.KeyUsageCertSign
	if err := write(dir, "ca", ca, ca, caKey, caKey); err != nil {
		return err
	}
	for _, n := range names {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return &Error{File: n + ".key", Err: err}
		}
		t := template(n, nodeLife)
		t.KeyUsage = x509.KeyUsageDigitalSignature
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		if err := write(dir, n, t, ca, k, caKey); err != nil {
			return err
		}
	}
	return nil
}

func template(name string, life time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // the system's random source never fails
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}
}

// write signs t by parent and stores certificate and key under name.
func write(dir, name string, t, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	if err != nil {
		return &Error{File: name + ".pem", Err: err}
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return &Error{File: name + ".key", Err: err}
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", der, certMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", private, keyMode)
}

func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, b, mode); err != nil {
		return &Error{File: file, Err: err}
	}
	return nil
}

// missing is the cause of an Error whose file holds no certificate.
type missing struct{}

var errNoCertificate = missing{}

// Error returns the text of the cause.
func (missing) Error() string { return "no certificate" }
