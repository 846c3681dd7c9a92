package wal

import (
	"os"
	"path/filepath"
)

// temporary ends the name of a file that isn't complete yet.
const temporary = ".tmp"

// Folder is a data folder of the operating system.
type Folder string

// List implements [Files].
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

// Read implements [Files].
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Append implements [Files].
func (f Folder) Append(name string, length int64) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(length); err != nil {
		file.Close()
		return nil, err
	}
	if _, err := file.Seek(length, 0); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Replace implements [Files].
func (f Folder) Replace(name string, b []byte) error {
	file, err := os.OpenFile(f.path(name+temporary), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
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
	if err != nil {
		return err
	}
	if err := os.Rename(f.path(name+temporary), f.path(name)); err != nil {
		return err
	}
	return f.SyncFolder()
}

// Remove implements [Files].
func (f Folder) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncFolder implements [Files].
func (f Folder) SyncFolder() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (f Folder) path(name string) string { return filepath.Join(string(f), name) }
