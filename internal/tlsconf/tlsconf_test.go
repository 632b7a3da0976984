package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// testCA issues certificates for tests.
type testCA struct {
	t       *testing.T
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &testCA{t, cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate and its key into dir.
func (a *testCA) issue(dir, name string, serial int64) api.TLSPair {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	pair := api.TLSPair{
		CertFile: filepath.Join(dir, name+".pem"), KeyFile: filepath.Join(dir, name+".key"), CaFile: filepath.Join(dir, name+".ca"),
	}
	writeFile(a.t, pair.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(a.t, pair.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	writeFile(a.t, pair.CaFile, a.certPEM)
	return pair
}

func writeFile(t *testing.T, name string, content []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(name, content, 0o600))
}

// handshake connects a server and a client over loopback and returns the error of each
// side.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		err = conn.(*tls.Conn).Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		accepted <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	return <-accepted, err
}

// Guards against a daemon that accepts a peer with a certificate of another CA or with
// none.
func TestPeersAuthenticateEachOther(t *testing.T) {
	dir := t.TempDir()
	trustedCA, otherCA := newTestCA(t), newTestCA(t)
	server, _, err := PeerConfigs(trustedCA.issue(dir, "a", 2))
	assert.NilError(t, err)
	_, client, err := PeerConfigs(trustedCA.issue(dir, "b", 3))
	assert.NilError(t, err)
	_, untrustedClient, err := PeerConfigs(otherCA.issue(dir, "c", 4))
	assert.NilError(t, err)

	serverErr, clientErr := handshake(t, server, client)
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	_, clientErr = handshake(t, server, untrustedClient)
	assert.Assert(t, clientErr != nil, "a certificate of another CA was accepted")
	_, clientErr = handshake(t, server, &tls.Config{InsecureSkipVerify: true})
	assert.Assert(t, clientErr != nil, "a client without certificate was accepted")
}

// Guards against a replaced certificate that takes effect only after a restart, and
// against a partly written file that replaces the valid certificate.
func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	ca := newTestCA(t)
	pair := ca.issue(dir, "a", 2)
	r, err := newCertReloader(pair)
	assert.NilError(t, err)
	assert.Equal(t, currentSerial(t, r), int64(2))

	writeFile(t, pair.CertFile, []byte("half written"))
	setModTimes(t, pair, time.Now().Add(10*time.Second))
	r.checkedAt = time.Time{}
	assert.Equal(t, currentSerial(t, r), int64(2))

	ca.issue(dir, "a", 7)
	setModTimes(t, pair, time.Now().Add(20*time.Second))
	r.checkedAt = time.Time{}
	assert.Equal(t, currentSerial(t, r), int64(7))
}

// setModTimes sets the modification time of all files of a pair.
func setModTimes(t *testing.T, pair api.TLSPair, at time.Time) {
	t.Helper()
	for _, name := range []string{pair.CertFile, pair.KeyFile, pair.CaFile} {
		assert.NilError(t, os.Chtimes(name, at, at))
	}
}

// currentSerial returns the serial number of the certificate in use.
func currentSerial(t *testing.T, r *certReloader) int64 {
	t.Helper()
	cert, _ := r.current()
	parsed, err := x509.ParseCertificate(cert.Certificate[0])
	assert.NilError(t, err)
	return parsed.SerialNumber.Int64()
}
