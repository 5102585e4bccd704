package journal_test

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"guavahitch.example/guavahitch/journal"
)

const recordBytes = 128

// BenchmarkAppend measures the time to append and sync one record, in the journal and in bbolt.
func BenchmarkAppend(b *testing.B) {
	b.Run("way=journal", func(b *testing.B) {
		disk, err := journal.NewDisk(b.TempDir())
		require.NoError(b, err)
		j, err := journal.Open(disk, journal.Settings{})
		require.NoError(b, err)
		defer j.Close()
		payload := make([]byte, recordBytes)
		for b.Loop() {
			require.NoError(b, j.Append(kind, 1, payload))
			require.NoError(b, j.Sync())
			if j.IsFull() {
				require.NoError(b, j.Rotate())
				require.NoError(b, j.Drop(1))
			}
		}
	})
	b.Run("way=bbolt", func(b *testing.B) {
		db, err := bbolt.Open(b.TempDir()+"/log", 0o600, nil)
		require.NoError(b, err)
		defer db.Close()
		payload, index := make([]byte, recordBytes), uint64(0)
		for b.Loop() {
			index++
			require.NoError(b, db.Update(func(tx *bbolt.Tx) error {
				bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
				if err != nil {
					return err
				}
				return bucket.Put(binary.BigEndian.AppendUint64(nil, index), payload)
			}))
		}
	})
}
