package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

type (
	// SelfSigned is a key pair with a self-signed certificate that a process
	// generates at its start. No authority is involved: a peer is authenticated
	// if its row in the store holds the fingerprint of the certificate that it
	// presents.
	SelfSigned struct {
		// Trusted reports whether a row of the store holds the fingerprint. It
		// must be set before the first use.
		Trusted func(fingerprint string) bool

		cert        tls.Certificate
		fingerprint string
	}

	// UntrustedError reports a peer that presented a certificate whose
	// fingerprint is in no row of the store, or no certificate.
	UntrustedError struct{ Fingerprint string }
)

// Error returns the fingerprint.
func (e *UntrustedError) Error() string {
	return "keys: no node is registered with certificate fingerprint " + e.Fingerprint
}

// NewSelfSigned generates a key pair and a self-signed certificate for a node.
func NewSelfSigned(name string) (*SelfSigned, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make key")
	}
	t := certTemplate(name, nodeValidity)
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "make certificate")
	}
	return &SelfSigned{
		cert:        tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		fingerprint: Fingerprint(der),
	}, nil
}

// Fingerprint returns the SHA-256 hash of a DER-encoded certificate in
// hexadecimal.
func Fingerprint(der []byte) string {
	hash := sha256.Sum256(der)
	return hex.EncodeToString(hash[:])
}

// Fingerprint returns the fingerprint of the own certificate.
func (m *SelfSigned) Fingerprint() string { return m.fingerprint }

// Server returns a TLS configuration that requires a trusted client certificate.
func (m *SelfSigned) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{m.cert},
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: m.verify,
	}
}

// Client returns a TLS configuration that verifies the server in the same way.
// Host names and validity dates are not checked: the wall clocks of VMs jump, and
// the row in the store does not outlive its node.
func (m *SelfSigned) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{m.cert},
		InsecureSkipVerify: true, // VerifyConnection checks the fingerprint instead
		VerifyConnection:   m.verify,
	}
}

func (m *SelfSigned) verify(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &UntrustedError{}
	}
	f := Fingerprint(c.PeerCertificates[0].Raw)
	if !m.Trusted(f) {
		return &UntrustedError{Fingerprint: f}
	}
	return nil
}
