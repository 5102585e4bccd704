// Package journal keeps records in synced files, so that what was answered survives a crash. Each record
// carries a checksum; a tail torn by a crash is told apart from corruption of what was synced.
package journal
