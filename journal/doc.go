// Package journal is a write-ahead log: records that were synced before a request was answered survive a crash
// and are replayed when the journal is opened. The log is split into segment files in one folder.
// Each record carries a checksum and the offset up to which its segment was known to be synced. With these, Open
// distinguishes an incomplete write at the end of the log, which it discards, from corruption of synced records,
// which it reports.
package journal
