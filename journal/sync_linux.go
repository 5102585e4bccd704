package journal

import (
	"os"
	"syscall"
)

// syncData writes the data of a file to the disk, with as much of its metadata as reading it back needs.
func syncData(f *os.File) error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if err != syscall.EINTR {
			return err
		}
	}
}
