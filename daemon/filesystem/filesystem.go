// Package filesystem is the part of a file system that durable state relies on. Tests replace
// the operating system's by a model that loses what is not synced.
package filesystem

import (
	"errors"
	"io"
	"os"
)

// File is a file that is open for writing.
type File interface {
	io.Writer
	io.Seeker
	// Truncate sets the size in bytes; the offset stays.
	Truncate(size int64) error
	// Sync makes the content durable. After an error it is unknown what is durable, and another
	// Sync may report success for data that is lost.
	Sync() error
	Close() error
}

// FS is a file system. A name that was created, renamed or removed is durable only once its
// folder has been synced.
type FS interface {
	// MkdirAll creates a folder with its parents unless it exists.
	MkdirAll(folder string) error
	// List returns the names in a folder, sorted.
	List(folder string) ([]string, error)
	// OpenRead opens a file for reading; the error is os.ErrNotExist if there is none.
	OpenRead(path string) (io.ReadCloser, error)
	// Create creates an empty file, which must not exist.
	Create(path string) (File, error)
	// Open opens a file, which it creates if necessary. Its offset is 0.
	Open(path string) (File, error)
	// Rename replaces the file at the new path, if there is one.
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(folder string) error
}

// Modes of what is created: nobody else reads a replica's state.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// OpenRead implements FS.
func (OS) OpenRead(path string) (io.ReadCloser, error) { return os.Open(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_EXCL, fileMode)
}

// Open implements FS.
func (OS) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadFile returns the content of a file; the error is os.ErrNotExist if there is none.
func ReadFile(fs FS, path string) ([]byte, error) {
	f, err := fs.OpenRead(path)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(f)
	return data, errors.Join(err, f.Close())
}
