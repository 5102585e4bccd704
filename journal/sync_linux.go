package journal

import (
	"os"
	"syscall"
)

// syncData flushes the data of a file to the disk, and only the metadata that is needed to read it back.
func syncData(f *os.File) error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if err != syscall.EINTR {
			return err
		}
	}
}
