package consensus

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// log is an immutable list of the entries after base.
type log struct {
	base     uint64 // index of the entry before the first one in the list
	baseTerm uint64 // term of the entry at base
	entries  *immutable.List[*notch.LogEntry]
}

func newLog() log { return newLogAt(0, 0) }

func newLogAt(index, term uint64) log {
	return log{base: index, baseTerm: term, entries: immutable.NewList[*notch.LogEntry]()}
}

func (l log) lastIndex() uint64 { return l.base + uint64(l.entries.Len()) }

func (l log) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of the entry at index, or 0 if it is unknown.
func (l log) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	if index < l.base || index > l.lastIndex() {
		return 0
	}
	return l.entryAt(index).Term
}

func (l log) entryAt(index uint64) notch.LogEntry { return *l.entries.Get(int(index - l.base - 1)) }

// slice returns up to n entries, starting at index.
func (l log) slice(index uint64, n int) []notch.LogEntry {
	end := min(l.lastIndex(), index+uint64(n)-1)
	var out []notch.LogEntry
	for i := index; i <= end; i++ {
		out = append(out, l.entryAt(i))
	}
	return out
}

// batch returns entries from index on for one message: at most n entries, and no further one once
// they have the given size in bytes.
func (l log) batch(index uint64, n, size int) []notch.LogEntry {
	end := min(l.lastIndex(), index+uint64(n)-1)
	var out []notch.LogEntry
	for i := index; i <= end && size > 0; i++ {
		e := l.entryAt(i)
		out = append(out, e)
		size -= notch.CommandSize(e.Command)
	}
	return out
}

// sharedBatch is the entries of a message, which several replicas may get in one step.
type sharedBatch struct {
	from    uint64 // index of the first one; zero: none was sent
	entries []notch.LogEntry
}

func (l log) withEntry(e notch.LogEntry) log {
	l.entries = l.entries.Append(&e)
	return l
}

// withoutSuffix returns the log without the entries from index on.
func (l log) withoutSuffix(index uint64) log {
	l.entries = l.entries.Slice(0, int(index-l.base-1))
	return l
}

// withoutPrefix returns the log without the entries up to and including index. It returns
// l unchanged if index is outside the log.
func (l log) withoutPrefix(index uint64) log {
	if index <= l.base || index > l.lastIndex() {
		return l
	}
	term := l.term(index)
	l.entries = l.entries.Slice(int(index-l.base), l.entries.Len())
	l.base, l.baseTerm = index, term
	return l
}
