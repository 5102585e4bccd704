package consensus

// The format of snapshot files: magic, version, length of the description, description, state, and a checksum over
// all of them. The leader sends the file unchanged, so follower and leader store the same bytes.

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/wire"
)

const (
	// SnapshotVersion is the version of the snapshot format that this program reads and writes.
	SnapshotVersion = 1

	// The header is the magic, the version and the length of the description. A checksum ends the file.
	snapshotMagic       = "GUAVASNP"
	snapshotHeaderBytes = 16
	snapshotSumBytes    = 4
	snapshotPrefix      = "snapshot-"
	snapshotDraft       = "temporary-snapshot"
	snapshotReceived    = "temporary-received"
)

var snapshotTable = crc32.MakeTable(crc32.Castagnoli)

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, index, term)
}

func isSnapshotName(name string) bool { return strings.HasPrefix(name, snapshotPrefix) }

// EncodeSnapshot returns the content of a snapshot file.
func EncodeSnapshot(info SnapshotInfo, state []byte) []byte {
	meta, _ := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.SnapshotMeta{
		Index: info.Index, Term: info.Term, TimeMs: info.TimeMs, Membership: info.members.wire(),
	})
	data := make([]byte, 0, snapshotHeaderBytes+len(meta)+len(state)+snapshotSumBytes)
	data = append(data, snapshotMagic...)
	data = binary.LittleEndian.AppendUint32(data, SnapshotVersion)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(meta)))
	data = append(data, meta...)
	data = append(data, state...)
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, snapshotTable))
}

// DecodeSnapshot returns the description and the state in a snapshot file. It returns a *FolderError with the given
// file name when the file is damaged or has another version.
func DecodeSnapshot(name string, data []byte) (SnapshotInfo, []byte, error) {
	fail := func(detail string) (SnapshotInfo, []byte, error) {
		return SnapshotInfo{}, nil, &FolderError{File: name, Detail: detail}
	}
	if len(data) < snapshotHeaderBytes+snapshotSumBytes || string(data[:8]) != snapshotMagic {
		return fail("is not a snapshot")
	}
	if version := binary.LittleEndian.Uint32(data[8:]); version != SnapshotVersion {
		return fail(fmt.Sprintf("has format version %d, this program knows version %d", version, SnapshotVersion))
	}
	body, sum := data[:len(data)-snapshotSumBytes], binary.LittleEndian.Uint32(data[len(data)-snapshotSumBytes:])
	if crc32.Checksum(body, snapshotTable) != sum {
		return fail("is corrupt: the checksum differs")
	}
	length := int(binary.LittleEndian.Uint32(data[12:]))
	if length > len(body)-snapshotHeaderBytes {
		return fail("is corrupt: the description is longer than the file")
	}
	meta := &wire.SnapshotMeta{}
	if err := proto.Unmarshal(body[snapshotHeaderBytes:snapshotHeaderBytes+length], meta); err != nil {
		return fail("is corrupt: " + err.Error())
	}
	return SnapshotInfo{
		Index: meta.Index, Term: meta.Term, TimeMs: meta.TimeMs, Bytes: uint64(len(data)),
		members: membershipOf(meta.Membership),
	}, body[snapshotHeaderBytes+length:], nil
}
