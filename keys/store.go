// Package keys sets up mutual TLS between the processes of guavahitch. Each process has a certificate signed by one
// common authority, and only peers with such a certificate can use the internal protocols; callers have none. A Store
// loads the key files and reloads them when they change, without a restart. An Authority issues keys for development
// and tests.
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

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = time.Second

type (
	// Files holds the names of a process's PEM files.
	Files struct {
		Certificate string
		Key         string
		// Authority is the file with the certificates that peers' certificates are verified against.
		Authority string
	}

	// Store holds the current contents of the key files. It is safe for concurrent use.
	Store struct {
		files      Files
		mutex      sync.Mutex
		checkedAt  time.Time
		modifiedAt time.Time
		current    *material
		// OnReload is called after each reload, with the error of a failed one. A failed reload leaves the previous
		// keys in use. It must be set before the store is used.
		OnReload func(error)
	}

	material struct {
		certificate tls.Certificate
		authority   *x509.CertPool
	}
)

// Open loads the files. Its errors name the file and the fault.
func Open(files Files) (*Store, error) {
	s := &Store{files: files, OnReload: func(error) {}}
	read, err := files.read()
	if err != nil {
		return nil, err
	}
	s.current, s.modifiedAt, s.checkedAt = read, files.lastModified(), time.Now()
	return s, nil
}

func (f Files) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s and key %s", f.Certificate, f.Key)
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
		return nil, eris.Wrapf(err, "read authority %s", file)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("authority %s: the file holds no PEM certificate", file)
	}
	return authority, nil
}

// lastModified returns the latest modification time of the files.
func (f Files) lastModified() time.Time {
	var newest time.Time
	for _, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// reloaded returns the current keys, and first reloads the files if they have changed.
func (s *Store) reloaded() *material {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.checkedAt) < reloadInterval {
		return s.current
	}
	s.checkedAt = time.Now()
	newest := s.files.lastModified()
	if newest.Equal(s.modifiedAt) {
		return s.current
	}
	read, err := s.files.read()
	s.OnReload(err)
	if err == nil {
		s.current, s.modifiedAt = read, newest
	}
	return s.current
}

// Listener returns a TLS listener that accepts only peers with a certificate of the authority.
func (s *Store) Listener(inner net.Listener) net.Listener {
	return s.listener(inner, tls.RequireAndVerifyClientCert)
}

// OperatorListener returns a TLS listener that requires no client certificate, because operators authenticate with a
// token.
func (s *Store) OperatorListener(inner net.Listener) net.Listener {
	return s.listener(inner, tls.NoClientCert)
}

func (s *Store) listener(inner net.Listener, clients tls.ClientAuthType) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.reloaded()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate},
				ClientAuth: clients, ClientCAs: m.authority, NextProtos: []string{"http/1.1"},
			}, nil
		},
	})
}

// OperatorTransport returns an HTTP transport for operators, which verifies servers against the authority in the file
// and presents no certificate.
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

// Secure makes a transport dial TLS with the keys that are current at the time of the dial, and returns the transport.
// A peer's certificate is verified against the authority but not against the address, because peers are reached by IP
// addresses that change.
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
			return nil, eris.Wrapf(err, "TLS handshake with %s", address)
		}
		return secured, nil
	}
	return transport
}

func (s *Store) clientConfig() *tls.Config {
	m := s.reloaded()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}, NextProtos: []string{"http/1.1"},
		// VerifyConnection verifies the chain. Only the check of the certificate's name against the address is skipped.
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
