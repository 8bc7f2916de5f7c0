package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// ErrNoCertificate says that an authority file has no certificate.
var ErrNoCertificate = eris.New("no certificate in the authority file")

// ReadSecret reads a secret from its file; white space around it is dropped.
func ReadSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read secret: %w", err)
	}

	return string(bytes.TrimSpace(data)), nil
}

// Config returns the TLS settings for both sides of a session, with mutual
// authentication, or nil for plaintext. The files are read again for each
// handshake, so that renewed certificates need no restart.
func (t *TLSSection) Config() (*tls.Config, error) {
	if t.CertificateFile == "" {
		return nil, nil
	}

	authority, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("read authority %s: %w", t.AuthorityFile, ErrNoCertificate)
	}

	if _, err := t.load(); err != nil {
		return nil, err
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// Peers are dialled by IP number; any certificate of the authority
		// is a peer, so the name is the system's own.
		ServerName: "trefoildeck",
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.load()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.load()
		},
	}, nil
}

func (t *TLSSection) load() (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}

	return &c, nil
}
