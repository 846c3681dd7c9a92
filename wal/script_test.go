package wal

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	notch "tamaracknotch"
)

var errDisk = errors.New("no space left on the fake disk")

// disk is a fake of a data folder that forgets what wasn't synced.
type disk struct {
	files  map[string][]byte
	synced map[string]int // length of each segment that is synced
	full   bool           // writes fail half way
	broken bool           // syncs fail
}

type diskFile struct {
	d    *disk
	name string
}

func (f diskFile) Write(b []byte) (int, error) {
	if f.d.full {
		f.d.files[f.name] = append(f.d.files[f.name], b[:len(b)/2]...)
		return len(b) / 2, errDisk
	}
	f.d.files[f.name] = append(f.d.files[f.name], b...)
	return len(b), nil
}

func (f diskFile) Sync() error {
	if f.d.broken {
		return errDisk
	}
	f.d.synced[f.name] = len(f.d.files[f.name])
	return nil
}

func (f diskFile) Close() error { return nil }

func (d *disk) List() ([]string, error) {
	var out []string
	for name := range d.files {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

func (d *disk) Read(name string) ([]byte, error) { return bytes.Clone(d.files[name]), nil }

func (d *disk) Append(name string, length int64) (File, error) {
	d.files[name] = append([]byte{}, d.files[name][:length]...)
	d.synced[name] = int(length)
	return diskFile{d, name}, nil
}

func (d *disk) Replace(name string, b []byte) error {
	if d.full {
		return errDisk
	}
	d.files[name] = bytes.Clone(b)
	d.synced[name] = len(b)
	return nil
}

func (d *disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

func (d *disk) SyncFolder() error { return nil }

// crash drops what isn't synced but for the first keep bytes of it.
func (d *disk) crash(keep int) {
	for name, b := range d.files {
		d.files[name] = b[:min(len(b), d.synced[name]+keep)]
	}
	d.full, d.broken = false, false
}

// last returns the name of the last file with a prefix.
func (d *disk) last(prefix string) string {
	names, _ := d.List()
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasPrefix(n, prefix) })
	if len(names) == 0 {
		return ""
	}
	return names[len(names)-1]
}

type diskKey struct{}

type session struct {
	disk    *disk
	journal *Journal
	got     notch.Recovered
	err     error
}

func entries(term, first, count int) []notch.Entry {
	var out []notch.Entry
	for i := range count {
		out = append(out, notch.Entry{Index: uint64(first + i), Term: uint64(term), Command: notch.ClaimRequest{ID: "r", Entry: "a", Token: uint64(first + i)}})
	}
	return out
}

// The commands: append TERM FIRST COUNT, snapshot INDEX TERM KEEPFROM [replace],
// reopen, crash KEEPBYTES, flip PREFIX BYTE, truncate PREFIX BYTES, zero PREFIX
// BYTES, full, broken, failed TEXT, corrupt TEXT, holds FIRST LAST, term N, files N.
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
			snap := notch.Snapshot{Index: uint64(n[0]), Term: uint64(n[1]), Images: []notch.Image{notch.ClaimsImage{}}}
			s.err = s.journal.SaveSnapshot(notch.SaveSnapshot{Snapshot: snap, KeepFrom: uint64(n[2]), Replace: slices.Contains(args, "replace")})
		},
		"reopen": func(ts *testscript.TestScript, s *session, _ []int, _ []string) {
			s.journal = New(s.disk)
			if _, _, s.err = s.journal.Identity(Identity{Storage: 7}); s.err == nil {
				s.got, s.err = s.journal.Load()
			}
		},
		"crash":  func(ts *testscript.TestScript, s *session, n []int, _ []string) { s.disk.crash(n[0]) },
		"full":   func(ts *testscript.TestScript, s *session, _ []int, _ []string) { s.disk.full = true },
		"broken": func(ts *testscript.TestScript, s *session, _ []int, _ []string) { s.disk.broken = true },
		"flip": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			b := s.disk.files[s.disk.last(args[0])]
			i := n[1]
			if i < 0 {
				i += len(b)
			}
			b[i] ^= 0x10
		},
		"truncate": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			name := s.disk.last(args[0])
			s.disk.files[name] = s.disk.files[name][:len(s.disk.files[name])-n[1]]
		},
		"zero": func(ts *testscript.TestScript, s *session, n []int, args []string) {
			name := s.disk.last(args[0])
			s.disk.files[name] = append(s.disk.files[name], make([]byte, n[1])...)
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
			if len(s.got.Entries) != want || want > 0 && s.got.Entries[0].Index != uint64(n[0]) {
				ts.Fatalf("got %d entries %v, want %d to %d", len(s.got.Entries), s.got.Entries, n[0], n[1])
			}
		},
		"term": func(ts *testscript.TestScript, s *session, n []int, _ []string) {
			if got := s.got.Hard.Term; got != uint64(n[0]) {
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
			f(ts, ts.Value(diskKey{}).(*session), n, args)
		}
	}
	return out
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Cmds: commands(), Setup: func(e *testscript.Env) error {
		e.Values[diskKey{}] = &session{disk: &disk{files: map[string][]byte{}, synced: map[string]int{}}}
		return nil
	}})
}
