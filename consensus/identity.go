package consensus

// The identity of a replica's folder: a JSON file with the folder format, the ID and the incarnation. It is written
// once, after the journal was created, so a folder with an identity has a journal.

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"guavahitch.example/guavahitch/journal"
)

const (
	// FolderFormat is the version of the folder format that this program reads and writes.
	FolderFormat = 1

	identityName  = "identity.json"
	identityDraft = "temporary-identity"
)

type (
	identityFile struct {
		Format      int
		ID          string
		Incarnation uint64
	}

	// FolderError is the reason why a replica's folder, or a file in it, cannot be used.
	FolderError struct {
		// File is the name of the file in the folder.
		File   string
		Detail string
	}
)

// Error returns the name of the file and the fault in it.
func (e *FolderError) Error() string { return e.File + ": " + e.Detail }

// readIdentity returns the identity of the folder, and false when the folder has none.
func readIdentity(disk *journal.Disk) (identityFile, bool, error) {
	data, isThere, err := readFile(disk, identityName)
	if err != nil || !isThere {
		return identityFile{}, false, err
	}
	stored, err := decodeIdentity(data)
	return stored, true, err
}

func decodeIdentity(data []byte) (identityFile, error) {
	var stored identityFile
	if err := json.Unmarshal(data, &stored); err != nil {
		return stored, &FolderError{File: identityName, Detail: "is damaged: " + err.Error()}
	}
	if stored.Format != FolderFormat {
		return stored, &FolderError{File: identityName, Detail: fmt.Sprintf(
			"has folder format %d, this program knows format %d", stored.Format, FolderFormat)}
	}
	if stored.ID == "" || stored.Incarnation == 0 {
		return stored, &FolderError{File: identityName, Detail: "has no ID or no incarnation"}
	}
	return stored, nil
}

func writeIdentity(disk *journal.Disk, stored identityFile) error {
	data, err := json.Marshal(stored)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return writeFile(disk, identityDraft, identityName, data)
}

// writeFile writes a file atomically: it writes and syncs a temporary file, and then renames it. After a crash, the
// new content is therefore there as a whole or not at all.
func writeFile(disk *journal.Disk, draft, name string, data []byte) error {
	f, err := disk.Open(draft)
	if err != nil {
		return eris.Wrapf(err, "create %s", draft)
	}
	defer f.Close()
	if err := f.Truncate(0); err != nil {
		return eris.Wrapf(err, "truncate %s", draft)
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		return eris.Wrapf(err, "write %s", draft)
	}
	if err := f.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", draft)
	}
	return renameSynced(disk, draft, name)
}

// renameSynced gives a synced temporary file its final name, and syncs the folder.
func renameSynced(disk *journal.Disk, draft, name string) error {
	if err := disk.Rename(draft, name); err != nil {
		return eris.Wrapf(err, "rename %s to %s", draft, name)
	}
	return eris.Wrap(disk.Sync(), "sync folder")
}

// readFile returns the content of a file, and false when the file does not exist.
func readFile(disk *journal.Disk, name string) (data []byte, isThere bool, err error) {
	names, err := disk.List()
	if err != nil {
		return nil, false, eris.Wrap(err, "list folder")
	}
	for _, n := range names {
		isThere = isThere || n == name
	}
	if !isThere {
		return nil, false, nil
	}
	f, err := disk.Open(name)
	if err != nil {
		return nil, false, eris.Wrapf(err, "open %s", name)
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, false, eris.Wrapf(err, "read %s", name)
	}
	data = make([]byte, size)
	if _, err := f.ReadAt(data, 0); err != nil && size > 0 {
		return nil, false, eris.Wrapf(err, "read %s", name)
	}
	return data, true, nil
}
