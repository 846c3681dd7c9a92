package consensus

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// log holds the entries after base. It is immutable.
type log struct {
	base     uint64 // index of the last entry before the list
	baseTerm uint64
	list     *immutable.List[notch.Entry]
}

func newLog() log { return newLogAt(0, 0) }

func newLogAt(index, term uint64) log {
	return log{base: index, baseTerm: term, list: immutable.NewList[notch.Entry]()}
}

func (l log) lastIndex() uint64 { return l.base + uint64(l.list.Len()) }

func (l log) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of the entry at index, or 0 if the log doesn't hold it.
func (l log) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	if index < l.base || index > l.lastIndex() {
		return 0
	}
	return l.at(index).Term
}

func (l log) at(index uint64) notch.Entry { return l.list.Get(int(index - l.base - 1)) }

// slice returns at most n entries from index on.
func (l log) slice(index uint64, n int) []notch.Entry {
	end := min(l.lastIndex(), index+uint64(n)-1)
	var out []notch.Entry
	for i := index; i <= end; i++ {
		out = append(out, l.at(i))
	}
	return out
}

func (l log) withEntry(e notch.Entry) log {
	l.list = l.list.Append(e)
	return l
}

// withoutSuffix drops the entries from index on.
func (l log) withoutSuffix(index uint64) log {
	l.list = l.list.Slice(0, int(index-l.base-1))
	return l
}

// withoutPrefix drops the entries up to index.
func (l log) withoutPrefix(index uint64) log {
	if index <= l.base || index > l.lastIndex() {
		return l
	}
	term := l.term(index)
	l.list = l.list.Slice(int(index-l.base), l.list.Len())
	l.base, l.baseTerm = index, term
	return l
}
