//go:build unix

package journal

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Lock takes an exclusive lock on a folder, so that processes that call it cannot use the folder at the same
// time. It fails at once when another process holds the lock. The returned function releases it.
func Lock(folder string) (unlock func(), err error) {
	path := filepath.Join(folder, "lock")
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, eris.Wrapf(err, "folder %s is in use by another process", folder)
	}
	return func() { _ = f.Close() }, nil
}
