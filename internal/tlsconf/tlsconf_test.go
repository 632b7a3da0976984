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

// authority issues certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
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
	return &authority{t, cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate and its key into dir.
func (a *authority) issue(dir, name string, serial int64) api.TLSPair {
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
	write(a.t, pair.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(a.t, pair.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	write(a.t, pair.CaFile, a.pem)
	return pair
}

func write(t *testing.T, name string, content []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(name, content, 0o600))
}

// handshake connects two sides and returns the error of each.
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

// Guards against a daemon accepting a peer of another authority, on either side.
func TestPeersAuthenticateEachOther(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := newAuthority(t), newAuthority(t)
	server, _, err := Peers(ours.issue(dir, "a", 2))
	assert.NilError(t, err)
	_, client, err := Peers(ours.issue(dir, "b", 3))
	assert.NilError(t, err)
	_, stranger, err := Peers(theirs.issue(dir, "c", 4))
	assert.NilError(t, err)

	serverErr, clientErr := handshake(t, server, client)
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	_, clientErr = handshake(t, server, stranger)
	assert.Assert(t, clientErr != nil, "a stranger was accepted")
	_, clientErr = handshake(t, server, &tls.Config{InsecureSkipVerify: true})
	assert.Assert(t, clientErr != nil, "a peer without certificate was accepted")
}

// Guards against a replaced certificate taking effect only after a restart, and
// against a half-written one cutting the service.
func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	ca := newAuthority(t)
	pair := ca.issue(dir, "a", 2)
	f, err := load(pair)
	assert.NilError(t, err)
	assert.Equal(t, serial(t, f), int64(2))

	write(t, pair.CertFile, []byte("half written"))
	touch(t, pair, time.Now().Add(10*time.Second))
	f.checked = time.Time{}
	assert.Equal(t, serial(t, f), int64(2))

	ca.issue(dir, "a", 7)
	touch(t, pair, time.Now().Add(20*time.Second))
	f.checked = time.Time{}
	assert.Equal(t, serial(t, f), int64(7))
}

func touch(t *testing.T, pair api.TLSPair, at time.Time) {
	t.Helper()
	for _, name := range []string{pair.CertFile, pair.KeyFile, pair.CaFile} {
		assert.NilError(t, os.Chtimes(name, at, at))
	}
}

func serial(t *testing.T, f *files) int64 {
	t.Helper()
	cert, _ := f.current()
	parsed, err := x509.ParseCertificate(cert.Certificate[0])
	assert.NilError(t, err)
	return parsed.SerialNumber.Int64()
}
