// Package tlsconf builds TLS configurations from PEM files and reads the files
// again when they change, so that certificates rotate without a restart.
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

// checkInterval is how often the files are looked at, at most.
const checkInterval = time.Second

// files holds the newest usable content of a certificate, its key and its CA.
type files struct {
	pair api.TLSPair

	mu      sync.Mutex
	checked time.Time
	stamp   time.Time
	cert    *tls.Certificate
	roots   *x509.CertPool
}

func load(pair api.TLSPair) (*files, error) {
	f := &files{pair: pair}
	if err := f.read(); err != nil {
		return nil, err
	}
	return f, nil
}

// current returns the newest usable files. A change that cannot be read keeps
// the previous certificate in use.
func (f *files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) >= checkInterval {
		f.checked = time.Now()
		if stamp, err := f.newest(); err == nil && stamp.After(f.stamp) {
			_ = f.read()
		}
	}
	return f.cert, f.roots
}

func (f *files) names() []string {
	names := []string{f.pair.CertFile, f.pair.KeyFile}
	if f.pair.CaFile != "" {
		names = append(names, f.pair.CaFile)
	}
	return names
}

func (f *files) newest() (time.Time, error) {
	var newest time.Time
	for _, name := range f.names() {
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

func (f *files) read() error {
	stamp, err := f.newest()
	if err != nil {
		return eris.Wrap(err, "TLS file cannot be read")
	}
	cert, err := tls.LoadX509KeyPair(f.pair.CertFile, f.pair.KeyFile)
	if err != nil {
		return eris.Wrapf(err, "certificate %s does not match its key", f.pair.CertFile)
	}
	var roots *x509.CertPool
	if f.pair.CaFile != "" {
		if roots, err = readRoots(f.pair.CaFile); err != nil {
			return err
		}
	}
	f.stamp, f.cert, f.roots = stamp, &cert, roots
	return nil
}

func readRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "CA file %s cannot be read", file)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("CA file %s holds no certificate", file)
	}
	return roots, nil
}

// Client returns the configuration of a caller or operator that trusts the
// certificates of a PEM file.
func Client(caFile string) (*tls.Config, error) {
	roots, err := readRoots(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// Server returns the configuration of a listener for callers or operators.
func Server(pair api.TLSPair) (*tls.Config, error) {
	f, err := load(pair)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
	}, nil
}

// Peers returns the configurations of both sides of a link between daemons.
// Each side verifies that the other's certificate was issued by the CA file.
// Names are not compared, since daemons are reached by IP numbers that change
// with every replacement.
func Peers(pair api.TLSPair) (server, client *tls.Config, err error) {
	if pair.CaFile == "" {
		return nil, nil, eris.New("peer TLS needs a CA file")
	}
	f, err := load(pair)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
		VerifyConnection: f.verifyConnection(x509.ExtKeyUsageClientAuth),
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified by VerifyConnection, against the newest CA file.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
		VerifyConnection: f.verifyConnection(x509.ExtKeyUsageServerAuth),
	}
	return server, client, nil
}

var errNoCertificate = errors.New("peer sent no certificate")

func (f *files) verifyConnection(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errNoCertificate
		}
		_, roots := f.current()
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		return eris.Wrap(err, "certificate of peer is not trusted")
	}
}
