//go:build !linux

package journal

import "os"

// syncData flushes a file to the disk.
func syncData(f *os.File) error { return f.Sync() }
