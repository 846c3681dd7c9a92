package wal

import (
	"io"
	"os"
	"path/filepath"
)

// tempSuffix is the suffix of a file that is still being written.
const tempSuffix = ".tmp"

// Folder is the path of a data folder in the file system of the operating system.
type Folder string

// List implements [FileSystem]. It creates the folder if it doesn't exist.
func (f Folder) List() ([]string, error) {
	if err := os.MkdirAll(string(f), 0o700); err != nil {
		return nil, err
	}
	items, err := os.ReadDir(string(f))
	var names []string
	for _, it := range items {
		names = append(names, it.Name())
	}
	return names, err
}

// Read implements [FileSystem].
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// OpenAppend implements [FileSystem].
func (f Folder) OpenAppend(name string, length int64) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := cutTo(file, length); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// cutTo truncates a file to length bytes, unless it has that length, and moves to its end.
func cutTo(file *os.File, length int64) error {
	end, err := file.Seek(0, io.SeekEnd)
	if err != nil || end == length {
		return err
	}
	if err := file.Truncate(length); err != nil {
		return err
	}
	_, err = file.Seek(length, io.SeekStart)
	return err
}

// Rewrite implements [FileSystem].
func (f Folder) Rewrite(name string, from int64, b []byte) error {
	file, err := os.OpenFile(f.path(name), os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteAt(b, from)
	return err
}

// WriteAtomic implements [FileSystem].
func (f Folder) WriteAtomic(name string, b []byte) error {
	temporary := f.path(name + tempSuffix)
	err := writeSynced(temporary, b)
	if err == nil {
		err = os.Rename(temporary, f.path(name))
	}
	if err != nil {
		os.Remove(temporary)
		return err
	}
	return f.SyncFolder()
}

// writeSynced creates or overwrites a file and syncs it.
func writeSynced(path string, b []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(b)
	if err == nil {
		err = file.Sync()
	}
	if cerr := file.Close(); err == nil {
		err = cerr
	}
	return err
}

// Remove implements [FileSystem].
func (f Folder) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncFolder implements [FileSystem].
func (f Folder) SyncFolder() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (f Folder) path(name string) string { return filepath.Join(string(f), name) }
