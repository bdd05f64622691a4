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
	// Memory is a key pair that a process makes for itself at its start.
	// Nothing is signed by an authority: a peer is who it says if the store's
	// row of that peer holds the fingerprint of the certificate it shows.
	Memory struct {
		// Trusted tells whether a fingerprint stands in the store's rows. It is
		// set before the first use.
		Trusted func(fingerprint string) bool

		cert        tls.Certificate
		fingerprint string
	}

	// UntrustedError means that a peer showed a certificate whose fingerprint
	// no row of the store holds.
	UntrustedError struct{ Fingerprint string }
)

// Error tells the fingerprint.
func (e *UntrustedError) Error() string { return "keys: no node has the key " + e.Fingerprint }

// NewMemory makes a key pair for a node.
func NewMemory(name string) (*Memory, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make key")
	}
	t := template(name, nodeLife)
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "make certificate")
	}
	return &Memory{
		cert:        tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		fingerprint: Fingerprint(der),
	}, nil
}

// Fingerprint returns the SHA-256 of a certificate in hexadecimal.
func Fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns that of the own certificate.
func (m *Memory) Fingerprint() string { return m.fingerprint }

// Server returns settings that demand a trusted certificate of the peer.
func (m *Memory) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{m.cert},
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: m.verify,
	}
}

// Client returns settings that check the peer in the same way. Names and
// validity by date are not checked: the wall clocks of VMs jump, and the row
// in the store ends with its node.
func (m *Memory) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{m.cert},
		InsecureSkipVerify: true, // verify compares fingerprints instead
		VerifyConnection:   m.verify,
	}
}

func (m *Memory) verify(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &UntrustedError{}
	}
	f := Fingerprint(c.PeerCertificates[0].Raw)
	if !m.Trusted(f) {
		return &UntrustedError{Fingerprint: f}
	}
	return nil
}
