// Package keys holds the key files by which the processes of guavahitch prove to each other who they are:
// TLS with certificates on both sides, signed by one authority. Files that change are read again without a
// restart. A caller or a stranger without such a certificate cannot speak the inner protocols.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// reloadInterval is the time between two looks at the files.
const reloadInterval = time.Second

type (
	// Files names the PEM files of a process.
	Files struct {
		Certificate string
		Key         string
		// Authority holds the certificates that peers' certificates are checked against.
		Authority string
	}

	// Store holds what the files hold now. It is safe for concurrent use.
	Store struct {
		files   Files
		mutex   sync.Mutex
		looked  time.Time
		changed time.Time
		current *material
		// OnReload is told of each reload and of each failed one, which leaves the old keys in use.
		OnReload func(error)
	}

	material struct {
		certificate tls.Certificate
		authority   *x509.CertPool
	}
)

// Open reads the files. Its errors name the file and what is wrong with it.
func Open(files Files) (*Store, error) {
	s := &Store{files: files, OnReload: func(error) {}}
	read, err := files.read()
	if err != nil {
		return nil, err
	}
	s.current, s.changed, s.looked = read, files.newest(), time.Now()
	return s, nil
}

func (f Files) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "certificate %s with key %s", f.Certificate, f.Key)
	}
	authority, err := readAuthority(f.Authority)
	if err != nil {
		return nil, err
	}
	return &material{certificate: certificate, authority: authority}, nil
}

func readAuthority(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "authority %s", file)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("authority %s: the file holds no PEM certificate", file)
	}
	return authority, nil
}

// newest returns the latest time at which one of the files changed.
func (f Files) newest() time.Time {
	var newest time.Time
	for _, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// now returns the keys in use, read again when the files have changed.
func (s *Store) now() *material {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.looked) < reloadInterval {
		return s.current
	}
	s.looked = time.Now()
	newest := s.files.newest()
	if newest.Equal(s.changed) {
		return s.current
	}
	read, err := s.files.read()
	s.OnReload(err)
	if err == nil {
		s.current, s.changed = read, newest
	}
	return s.current
}

// Listener returns a listener that lets in peers with a certificate of the authority only.
func (s *Store) Listener(inner net.Listener) net.Listener {
	return s.listener(inner, tls.RequireAndVerifyClientCert)
}

// OperatorListener returns a listener that proves itself and lets in everyone: operators show a token instead.
func (s *Store) OperatorListener(inner net.Listener) net.Listener {
	return s.listener(inner, tls.NoClientCert)
}

func (s *Store) listener(inner net.Listener, clients tls.ClientAuthType) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.now()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate},
				ClientAuth: clients, ClientCAs: m.authority, NextProtos: []string{"http/1.1"},
			}, nil
		},
	})
}

// OperatorTransport returns a transport for an operator, who has no certificate and trusts the authority in
// the file.
func OperatorTransport(authorityFile string) (*http.Transport, error) {
	authority, err := readAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return &http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13, InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error { return verifyServer(authority, state) },
	}}, nil
}

// Secure makes a transport dial with the keys in use at that moment. Peers are known by IP addresses that
// come and go, so the certificate proves membership, not an address.
func (s *Store) Secure(transport *http.Transport) *http.Transport {
	dial := transport.DialContext
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, s.clientConfig())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, eris.Wrapf(err, "keys of %s", address)
		}
		return secured, nil
	}
	return transport
}

func (s *Store) clientConfig() *tls.Config {
	m := s.now()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}, NextProtos: []string{"http/1.1"},
		// The chain is verified below; only the match of an address with a name is left out.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyServer(m.authority, state) },
	}
}

func verifyServer(authority *x509.CertPool, state tls.ConnectionState) error {
	options := x509.VerifyOptions{
		Roots: authority, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
