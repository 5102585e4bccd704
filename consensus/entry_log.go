package consensus

import "guavahitch.example/guavahitch/wire"

// entryLog holds the entries that are not compacted yet, in memory.
type entryLog struct {
	// base and baseTerm are index and term of the entry before the first one. An append that follows directly
	// after that entry is matched against them.
	base     uint64
	baseTerm uint64
	entries  []*wire.LogEntry
	bytes    int
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at the index, and false when the log does not hold that entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries between two indexes, both included, as many as fit into maxBytes but at least one.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*wire.LogEntry {
	if from > to {
		return nil
	}
	all := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l *entryLog) append(entries ...*wire.LogEntry) {
	for _, e := range entries {
		l.bytes += entrySize(e)
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries after the index.
func (l *entryLog) truncate(index uint64) {
	for _, e := range l.entries[index-l.base:] {
		l.bytes -= entrySize(e)
	}
	kept := l.entries[: index-l.base : index-l.base]
	l.entries = kept
}

// compact drops the entries up to and including the index, and frees their memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.term(index)
	for _, e := range l.entries[:index-l.base] {
		l.bytes -= entrySize(e)
	}
	l.entries = append([]*wire.LogEntry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// reset empties the log, which then continues after the snapshot of the given index and term.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term}
}

// entryOverhead is the approximate memory of an entry without its data, in bytes.
const entryOverhead = 128

func entrySize(e *wire.LogEntry) int { return len(e.Data) + entryOverhead }
