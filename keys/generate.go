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
	// throwAwayLife is how long generated keys are valid.
	throwAwayLife = 30 * 24 * time.Hour
	// clockSlack is how long before their making generated keys are valid, for peers with late clocks.
	clockSlack = time.Hour
	// serialBits is the length of a serial number.
	serialBits = 120
	// keyMode lets only the owner read a key.
	keyMode = 0o600
)

// Authority signs the certificates of one system. It exists in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
}

// NewAuthority makes a throw-away authority and writes its certificate into the folder. The dev verb and
// tests use it; an operator's own authority signs the keys of a real system.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "authority key")
	}
	template := newTemplate("guavahitch authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "authority certificate")
	}
	certificate, err := x509.ParseCertificate(signed)
	if err != nil {
		return nil, eris.Wrap(err, "authority certificate")
	}
	a := &Authority{certificate: certificate, key: key, folder: folder}
	return a, writePEM(a.file(), "CERTIFICATE", signed)
}

func (a *Authority) file() string { return filepath.Join(a.folder, "authority.pem") }

// Issue makes a key and a certificate for a process and returns their files.
func (a *Authority) Issue(process string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, eris.Wrapf(err, "key of %s", process)
	}
	template := newTemplate(process)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, eris.Wrapf(err, "certificate of %s", process)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, eris.Wrapf(err, "key of %s", process)
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
		NotBefore: now.Add(-clockSlack), NotAfter: now.Add(throwAwayLife),
	}
}

func writePEM(file, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return eris.Wrapf(os.WriteFile(file, text, keyMode), "write %s", file)
}
