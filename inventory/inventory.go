// Package inventory keeps what lists of hosts have told, and decides which of it proves that a host is gone.
//
// A list may be old, incomplete or wrong, and it isn't of one moment if it was read in several parts: a host that is
// there throughout may be left out while others go. So nothing follows from one list alone.
package inventory

import (
	"maps"
	"slices"
	"time"

	notch "tamaracknotch"
)

// The timing of lists.
const (
	Timeout   = 3 * time.Second      // of a call for a list, all its parts included
	minPause  = time.Second          // between the beginnings of two calls
	hostPause = 2 * time.Millisecond // the same, for each host of a long list
	maxPauses = 32                   // that a call waits for after others brought nothing, in units of the pause
	maxAge    = 5 * time.Second      // of the latest list, from which on it proves nothing
	settled   = 10 * time.Second     // that a host must have been known for, as a list that is older than those before lacks it too
)

// Lists holds what the lists of hosts have told so far. It is never modified. The zero value has seen no list.
type Lists struct {
	before, latest list
	firstNamed     map[string]notch.Time // when the first list was asked for that named a host, by host
	askedAt        notch.Time            // when the latest call began; zero: there was none
	underWay       bool                  // that call has no outcome yet
	fruitless      int                   // successive calls that failed, or named no host that was missed
}

// list is one list of hosts. The zero value is none.
type list struct {
	askedAt, receivedAt notch.Time
	hosts               []string // sorted
}

// names reports whether a list names a host.
func (l list) names(host string) bool {
	_, ok := slices.BinarySearch(l.hosts, host)
	return ok
}

// Due reports whether to call for a list: one is wanted, and the latest call was long enough ago. Urgent reports that
// decisions wait for it.
func (l Lists) Due(now notch.Time, urgent bool) bool {
	if l.askedAt == 0 {
		return true
	}
	since := now.Sub(l.askedAt)
	pause := max(minPause, hostPause*time.Duration(len(l.latest.hosts)))
	switch {
	case l.underWay:
		return since >= Timeout+minPause // its outcome is lost
	case urgent:
		return since >= pause
	}
	return since >= pause*time.Duration(min(1<<min(l.fruitless, 16), maxPauses))
}

// WithCall returns l after a call for a list was begun.
func (l Lists) WithCall(now notch.Time) Lists {
	l.askedAt, l.underWay = now, true
	return l
}

// WithNewHost returns l after another host has become known. It need not wait as long as those that lists haven't named.
func (l Lists) WithNewHost() Lists {
	l.fruitless = 0
	return l
}

// WithOutcome returns l after the outcome of a call. Missed reports whether a host is missed that no list has named yet.
func (l Lists) WithOutcome(b notch.HostsListed, missed func(l Lists) bool) Lists {
	l.underWay = false
	if b.Failure != "" || b.AskedAt.Before(l.latest.askedAt) || b.ReceivedAt.Sub(b.AskedAt) > Timeout+minPause {
		l.fruitless++
		return l
	}
	hosts := slices.Compact(slices.Sorted(slices.Values(b.Hosts)))
	l.before, l.latest = l.latest, list{askedAt: b.AskedAt, receivedAt: b.ReceivedAt, hosts: hosts}
	l.firstNamed = withNamed(l.firstNamed, hosts, b.AskedAt)
	if missed(l) {
		l.fruitless++
	} else {
		l.fruitless = 0
	}
	return l
}

// withNamed returns the times at which hosts were named first, after a list that was asked for at the given time.
func withNamed(first map[string]notch.Time, hosts []string, askedAt notch.Time) map[string]notch.Time {
	isNew := func(host string) bool { _, known := first[host]; return !known }
	if !slices.ContainsFunc(hosts, isNew) {
		return first
	}
	out := make(map[string]notch.Time, len(hosts))
	maps.Copy(out, first)
	for _, host := range hosts {
		if isNew(host) {
			out[host] = askedAt
		}
	}
	return out
}

// HasNamed reports whether a list has named a host.
func (l Lists) HasNamed(host string) bool {
	_, ok := l.firstNamed[host]
	return ok
}

// Names reports whether the latest list names a host.
func (l Lists) Names(host string) bool { return l.latest.names(host) }

// AskedAt returns when the calls for the last two lists began, the earlier one first; zero: there was none.
func (l Lists) AskedAt() (before, latest notch.Time) { return l.before.askedAt, l.latest.askedAt }

// ReceivedAt returns when the latest list had arrived; zero: there was none.
func (l Lists) ReceivedAt() notch.Time { return l.latest.receivedAt }

// Lacks reports whether a host is gone that was there at the given time, if the lists are true. Lists have named it for
// long enough, and the last two, which were asked for after that time, do not. Both name the same hosts, so that none
// went while the parts of the first one were read.
func (l Lists) Lacks(host string, since, now notch.Time) bool {
	first, known := l.firstNamed[host]
	switch {
	case host == "" || !known || l.before.askedAt.Sub(first) < settled:
		return false
	case !since.Before(l.before.askedAt) || now.Sub(l.latest.askedAt) > maxAge:
		return false
	}
	return !l.latest.names(host) && slices.Equal(l.before.hosts, l.latest.hosts)
}
