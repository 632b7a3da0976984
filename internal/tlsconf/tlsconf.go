// Package tlsconf builds TLS configurations from PEM files. It reloads the files when they
// change, so that certificates can be replaced without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = time.Second

// certReloader holds the last valid certificate, key and CA certificates of a TLSPair.
type certReloader struct {
	pair api.TLSPair

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// newCertReloader returns a reloader that has read the files of pair.
func newCertReloader(pair api.TLSPair) (*certReloader, error) {
	r := &certReloader{pair: pair}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// current returns the certificate and the CA certificates. It reloads the files when one
// has changed since the last successful load; when that fails, the previous certificate
// stays in use and the next check tries again.
func (r *certReloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= checkInterval {
		r.checkedAt = time.Now()
		if modTime, err := r.latestModTime(); err == nil && modTime.After(r.modTime) {
			_ = r.reload()
		}
	}
	return r.cert, r.roots
}

// fileNames returns the files of the pair; the CA file is optional.
func (r *certReloader) fileNames() []string {
	names := []string{r.pair.CertFile, r.pair.KeyFile}
	if r.pair.CaFile != "" {
		names = append(names, r.pair.CaFile)
	}
	return names
}

// latestModTime returns the latest modification time of the files.
func (r *certReloader) latestModTime() (time.Time, error) {
	var newest time.Time
	for _, name := range r.fileNames() {
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// reload reads all files and replaces the certificates only when every file is valid.
func (r *certReloader) reload() error {
	modTime, err := r.latestModTime()
	if err != nil {
		return eris.Wrap(err, "modification time of a TLS file cannot be read")
	}
	cert, err := tls.LoadX509KeyPair(r.pair.CertFile, r.pair.KeyFile)
	if err != nil {
		return eris.Wrapf(err, "certificate %s cannot be loaded with its key", r.pair.CertFile)
	}
	var roots *x509.CertPool
	if r.pair.CaFile != "" {
		if roots, err = readRoots(r.pair.CaFile); err != nil {
			return err
		}
	}
	r.modTime, r.cert, r.roots = modTime, &cert, roots
	return nil
}

// readRoots returns the CA certificates of a PEM file.
func readRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "CA file %s cannot be read", file)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("CA file %s contains no valid PEM certificate", file)
	}
	return roots, nil
}

// ClientConfig returns the TLS configuration of a caller or operator that trusts the CA
// certificates of a PEM file. The file is read once. It returns an error when the file
// cannot be read or contains no certificate.
func ClientConfig(caFile string) (*tls.Config, error) {
	roots, err := readRoots(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// ServerConfig returns the TLS configuration of a listener for callers or operators. It returns
// an error when the files of pair cannot be loaded.
func ServerConfig(pair api.TLSPair) (*tls.Config, error) {
	r, err := newCertReloader(pair)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}, nil
}

// PeerConfigs returns the TLS configurations for both sides of a connection between daemons.
// Each side verifies that the certificate of the other was issued by a CA in the CA file.
// Names are not verified, because daemons are reached by IP addresses that change with
// every replacement. It returns an error when pair has no CA file or cannot be loaded.
func PeerConfigs(pair api.TLSPair) (server, client *tls.Config, err error) {
	if pair.CaFile == "" {
		return nil, nil, eris.New("TLS between peers requires caFile")
	}
	r, err := newCertReloader(pair)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		VerifyConnection: r.verifyConnection(x509.ExtKeyUsageClientAuth),
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain against the current CA file.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		VerifyConnection: r.verifyConnection(x509.ExtKeyUsageServerAuth),
	}
	return server, client, nil
}

// errNoCertificate is returned by the TLS handshake.
var errNoCertificate = errors.New("peer sent no certificate")

// verifyConnection returns a function that verifies the peer's chain for a key usage.
func (r *certReloader) verifyConnection(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errNoCertificate
		}
		_, roots := r.current()
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		return eris.Wrap(err, "certificate of the peer is not trusted by the CA file")
	}
}
