package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// ErrNoCertificate says that an authority file contains no certificate.
var ErrNoCertificate = eris.New("no certificate in the authority file")

// ReadSecret reads a secret from a file and trims the white space around it.
func ReadSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read secret: %w", err)
	}

	return string(bytes.TrimSpace(data)), nil
}

// Config returns the TLS configuration for both sides of a session, with mutual
// authentication, or nil for plaintext. The certificate and its key are read again for
// each handshake, so that renewed certificates need no restart.
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

	if _, err := t.loadCertificate(); err != nil {
		return nil, err
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// Peers are dialled by IP address, and each certificate of the authority
		// belongs to a peer, so all certificates are issued for this name.
		ServerName: "trefoildeck",
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.loadCertificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.loadCertificate()
		},
	}, nil
}

func (t *TLSSection) loadCertificate() (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}

	return &c, nil
}
