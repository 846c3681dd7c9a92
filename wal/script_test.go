package wal

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	notch "tamaracknotch"
)

type sessionKey struct{}

type session struct {
	disk      *disk
	journal   *Journal
	recovered notch.Recovered
	err       error
}

func entries(term, first, count int) []notch.LogEntry {
	var out []notch.LogEntry
	for i := range count {
		out = append(out, notch.LogEntry{Index: uint64(first + i), Term: uint64(term), Command: notch.ClaimRequest{ID: "r", Entry: "a", Token: uint64(first + i)}})
	}
	return out
}

// commands returns the commands of the scripts:
//
//	reopen                                    loads the journal from the disk
//	append TERM FIRST COUNT                   appends entries
//	snapshot INDEX TERM KEEPFROM [replace]    saves a snapshot
//	full, failsync                            lets writes or syncs fail until the next crash or room
//	fail OPERATION...                         lets these operations fail until then
//	room                                      ends all failures
//	crash KEEPBYTES                           keeps this many unsynced bytes of each file
//	flip PREFIX BYTE                          flips a bit; a negative BYTE counts from the end
//	truncate, zero PREFIX BYTES               removes bytes from the end, or adds zeros there
//	works                                     the last journal call succeeded
//	failed, corrupt TEXT                      it failed with TEXT, or with ErrCorrupt and TEXT
//	holds FIRST LAST                          the last reopen returned these entries
//	unsynced N                                the last reopen reported this number of unsynced entries
//	term N                                    the last reopen returned this term
//	files N                                   the data folder holds this many files
//
// flip, truncate and zero change the last file whose name begins with PREFIX.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	number := func(ts *testscript.TestScript, s string) int {
		n, err := strconv.Atoi(s)
		ts.Check(err)
		return n
	}
	type run func(ts *testscript.TestScript, s *session, n []int, args []string)
	table := map[string]run{
		"append": func(ts *testscript.TestScript, s *session, n []int, _ []string) {
			s.err = s.journal.Append([]notch.Persist{{Hard: notch.HardState{Term: uint64(n[0])}, Entries: entries(n[0], n[1], n[2])}})
		},
		"snapshot": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			snap := notch.Snapshot{Index: uint64(n[0]), Term: uint64(n[1]), Images: []notch.PartSnapshot{notch.ClaimsSnapshot{}}}
			s.err = s.journal.SaveSnapshot(notch.SaveSnapshot{Snapshot: snap, KeepFrom: uint64(n[2]), Replace: slices.Contains(args, "replace")})
		},
		"reopen": func(ts *testscript.TestScript, s *session, _ []int, _ []string) {
			s.journal = New(s.disk)
			if _, s.err = s.journal.Identity(Identity{Storage: 7}); s.err == nil {
				s.recovered, s.err = s.journal.Load()
			}
		},
		"crash": func(ts *testscript.TestScript, s *session, n []int, _ []string) { s.disk.crash(n[0], keepAll) },
		"full": func(ts *testscript.TestScript, s *session, _ []int, _ []string) {
			s.disk.fails = failAt(opOpen, opWrite, opAtomic)
		},
		"failsync": func(ts *testscript.TestScript, s *session, _ []int, _ []string) { s.disk.fails = failAt(opSync) },
		"fail": func(ts *testscript.TestScript, s *session, _ []int, args []string) {
			var ops []operation
			for _, a := range args {
				ops = append(ops, operation(a))
			}
			s.disk.fails = failAt(ops...)
		},
		"room": func(ts *testscript.TestScript, s *session, _ []int, _ []string) { s.disk.fails = failNever },
		"flip": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			b := s.disk.files[s.disk.lastFile(args[0])].data
			i := n[1]
			if i < 0 {
				i += len(b)
			}
			b[i] ^= 0x10
		},
		"truncate": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			c := s.disk.files[s.disk.lastFile(args[0])]
			c.truncate(len(c.data) - n[1])
		},
		"zero": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			c := s.disk.files[s.disk.lastFile(args[0])]
			c.data = append(c.data, make([]byte, n[1])...)
		},
		"works": func(ts *testscript.TestScript, s *session, _ []int, _ []string) { ts.Check(s.err) },
		"failed": func(ts *testscript.TestScript, s *session, _ []int, args []string) {
			if s.err == nil || !strings.Contains(s.err.Error(), strings.Join(args, " ")) {
				ts.Fatalf("got %v, want an error with %q", s.err, args)
			}
		},
		"corrupt": func(ts *testscript.TestScript, s *session, _ []int, args []string) {
			if !errors.Is(s.err, notch.ErrCorrupt) || !strings.Contains(s.err.Error(), strings.Join(args, " ")) {
				ts.Fatalf("got %v, want ErrCorrupt with %q", s.err, args)
			}
		},
		"holds": func(ts *testscript.TestScript, s *session, n []int, _ []string) {
			ts.Check(s.err)
			want := n[1] - n[0] + 1
			if len(s.recovered.Entries) != want || want > 0 && s.recovered.Entries[0].Index != uint64(n[0]) {
				ts.Fatalf("got %d entries %v, want %d to %d", len(s.recovered.Entries), s.recovered.Entries, n[0], n[1])
			}
		},
		"unsynced": func(ts *testscript.TestScript, s *session, n []int, _ []string) {
			if got := s.recovered.Unsynced; got != n[0] {
				ts.Fatalf("unsynced: got %d, want %d", got, n[0])
			}
		},
		"term": func(ts *testscript.TestScript, s *session, n []int, _ []string) {
			if got := s.recovered.Hard.Term; got != uint64(n[0]) {
				ts.Fatalf("term: got %d, want %d", got, n[0])
			}
		},
		"files": func(ts *testscript.TestScript, s *session, n []int, _ []string) {
			if names, _ := s.disk.List(); len(names) != n[0] {
				ts.Fatalf("files: got %q, want %d", names, n[0])
			}
		},
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range table {
		out[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			var n []int
			for _, a := range args {
				if _, err := strconv.Atoi(a); err == nil {
					n = append(n, number(ts, a))
				} else {
					n = append(n, 0)
				}
			}
			f(ts, ts.Value(sessionKey{}).(*session), n, args)
		}
	}
	return out
}

// Guards against a log that is corrupt after a crash while its last segment was replaced.
func TestUnfinishedSegmentIsRemoved(t *testing.T) {
	d := newDisk()
	d.files[segmentName(1)+tempSuffix] = &content{data: []byte("unfinished")}
	if _, err := New(d).Load(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if got, want := d.lastFile(segmentPrefix), segmentName(1); got != want {
		t.Errorf("got the file %s, want %s", got, want)
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Cmds: commands(), Setup: func(e *testscript.Env) error {
		e.Values[sessionKey{}] = &session{disk: newDisk()}
		return nil
	}})
}
