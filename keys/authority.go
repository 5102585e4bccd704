package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// generatedLifetime is how long generated certificates are valid.
	generatedLifetime = 30 * 24 * time.Hour
	// clockSkew is how far the start of a certificate's validity lies in the past, for peers whose clock is behind.
	clockSkew = time.Hour
	// serialBits is the length of a serial number.
	serialBits = 120
	// keyMode is the mode of the written files, which only their owner may read.
	keyMode = 0o600
)

// Authority is a certificate authority for development and tests. Its private key exists in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
}

// NewAuthority creates an authority and writes its certificate to the folder. The dev command and tests use it. In
// production, the operator's own authority signs the certificates.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the key of the authority")
	}
	template := newTemplate("guavahitch authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create the certificate of the authority")
	}
	certificate, err := x509.ParseCertificate(signed)
	if err != nil {
		return nil, eris.Wrap(err, "parse the certificate of the authority")
	}
	a := &Authority{certificate: certificate, key: key, folder: folder}
	return a, writePEM(a.file(), "CERTIFICATE", signed)
}

func (a *Authority) file() string { return filepath.Join(a.folder, "authority.pem") }

// Issue creates a key and a certificate for a process, writes them to the folder and returns the files.
func (a *Authority) Issue(process string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, eris.Wrapf(err, "generate the key of %s", process)
	}
	template := newTemplate(process)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, eris.Wrapf(err, "create the certificate of %s", process)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, eris.Wrapf(err, "encode the key of %s", process)
	}
	files := Files{
		Certificate: filepath.Join(a.folder, process+".pem"), Key: filepath.Join(a.folder, process+"-key.pem"),
		Authority: a.file(),
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", signed); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", private)
}

func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(generatedLifetime),
	}
}

func writePEM(file, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return eris.Wrapf(os.WriteFile(file, text, keyMode), "write %s", file)
}
