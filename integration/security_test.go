package integration_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoildeck/core/resource"
	"trefoildeck/settings"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}

	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)

	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)

	return &authority{
		certificate: certificate,
		key:         key,
		pem:         pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
	}
}

// issue writes a certificate, its key and the certificate of the authority to files
// in folder, and returns the section [TLS] that names them.
func (a *authority) issue(t *testing.T, folder, name string) settings.TLSSection {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)

	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)

	s := settings.TLSSection{
		CertificateFile: filepath.Join(folder, name+"-certificate.pem"),
		KeyFile:         filepath.Join(folder, name+"-key.pem"),
		AuthorityFile:   filepath.Join(folder, name+"-authority.pem"),
	}

	for file, data := range map[string][]byte{
		s.CertificateFile: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		s.KeyFile:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		s.AuthorityFile:   a.pem,
	} {
		assert.NilError(t, os.WriteFile(file, data, 0o600))
	}

	return s
}

func tlsText(s settings.TLSSection) string {
	return fmt.Sprintf("[TLS]\nCertificateFile = %s\nKeyFile = %s\nAuthorityFile = %s\n", s.CertificateFile, s.KeyFile, s.AuthorityFile)
}

// TestCertificates runs a deployment with mutual TLS and connects to the peer address
// of an entry with a certificate of its authority, with one of another authority and
// with none. Only the first is accepted.
func TestCertificates(t *testing.T) {
	t.Parallel()

	own, foreign := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	good := own.issue(t, folder, "trefoildeck")

	s := threeDataCentres()
	s.extraSettings = tlsText(good)

	d := startDeployment(t, s)
	d.declare()

	config, err := good.Config()
	assert.NilError(t, err)

	stranger := foreign.issue(t, folder, "stranger")

	foreignConfig, err := stranger.Config()
	assert.NilError(t, err)

	foreignConfig.InsecureSkipVerify = true

	cases := map[string]struct {
		config *tls.Config
		works  bool
	}{
		"own":            {config, true},
		"foreign":        {foreignConfig, false},
		"no certificate": {&tls.Config{InsecureSkipVerify: true}, false}, //nolint:gosec // a hostile peer
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := tls.Dial("tcp", d.entries[0].peerProxy.proxy.Listen, c.config)
			if err != nil {
				assert.Assert(t, !c.works)

				return
			}
			defer func() { assert.NilError(t, conn.Close()) }()

			// With TLS 1.3 the client sees the server's rejection on its first read. A
			// read that times out means that the connection was accepted.
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))

			_, err = conn.Read(make([]byte, 1))

			var timeout net.Error

			assert.Equal(t, isTimeout(err, &timeout), c.works, "%v", err)
		})
	}

	o, err := d.getOutcome(0)
	assert.NilError(t, err)
	assert.Equal(t, o, "Answered")
}

func isTimeout(err error, timeout *net.Error) bool {
	e, ok := err.(net.Error)
	*timeout = e

	return ok && e.Timeout()
}

// TestHostileCallers sends malformed requests to every address of an entry: it
// answers with an error or closes the connection, and still serves other callers.
func TestHostileCallers(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare()

	e := d.entries[0]
	requests := map[string]string{
		"no HTTP":        "\x00\x01\x02\r\n\r\n",
		"large header":   "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n",
		"bad length":     "POST /services/booking/x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
		"two lengths":    "POST /services/booking/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"cut body":       "POST /services/booking/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nshort",
		"broken chunks":  "POST /services/booking/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n",
		"path traversal": "GET /services/../resources HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
	}

	for name, text := range requests {
		for _, a := range []string{e.caller.String(), e.operator.String(), e.admin.String(), e.peerProxy.proxy.Listen} {
			conn, err := net.Dial("tcp", a)
			assert.NilError(t, err)

			// The entry may close the connection before all of it is written.
			_, _ = io.WriteString(conn, text)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(100*time.Millisecond)))

			answer, _ := io.ReadAll(conn)
			assert.Assert(t, !strings.HasPrefix(string(answer), "HTTP/1.1 200") || a == e.admin.String(), "%s at %s: %s", name, a, answer)
			assert.NilError(t, conn.Close())
		}
	}

	// Requests whose bodies never arrive don't block other callers.
	for range 50 {
		conn, err := net.Dial("tcp", e.caller.String())
		assert.NilError(t, err)

		_, err = io.WriteString(conn, "POST /services/booking/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n")
		assert.NilError(t, err)

		defer conn.Close()
	}

	o, err := d.getOutcome(0)
	assert.NilError(t, err)
	assert.Equal(t, o, "Answered")
}

// TestTokens checks that requests without a known token are rejected, and that every
// change in the audit log was made by the known operator.
func TestTokens(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare()

	for name, header := range map[string]string{
		"none":  "",
		"wrong": "Bearer guess",
		"basic": "Basic " + operatorToken,
	} {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
			req, err := http.NewRequest(method, "http://"+d.entries[0].operator.String()+"/resources/Team/mixing", strings.NewReader("{}"))
			assert.NilError(t, err)

			req.Header.Set("Authorization", header)

			res, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusUnauthorized, name)
			assert.NilError(t, res.Body.Close())
		}
	}

	audit, err := d.operator(0).Audit(t.Context(), resource.ID{})
	assert.NilError(t, err)

	for _, a := range audit {
		assert.Equal(t, a.Operator, "tester")
	}
}
