package storage

import (
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"cardamomwick.example/daemon/filesystem"
)

// DamagedPrefix begins the names of files that were set aside.
const DamagedPrefix = "damaged-"

// SetAside renames all files of a damaged folder, so that the next Open creates a replica with a
// new identity. Files that were set aside before are removed. If it is interrupted, Open reports
// ErrCorrupt again, or creates the new replica.
func SetAside(fs filesystem.FS, dir string) error {
	names, err := fs.List(dir)
	if err != nil {
		return eris.Wrap(err, "list damaged folder")
	}
	for _, name := range names {
		if strings.HasPrefix(name, DamagedPrefix) {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return eris.Wrap(err, "remove a file set aside before")
			}
		}
	}
	for _, name := range names {
		if strings.HasPrefix(name, DamagedPrefix) {
			continue
		}
		if err := fs.Rename(filepath.Join(dir, name), filepath.Join(dir, DamagedPrefix+name)); err != nil {
			return eris.Wrap(err, "set a damaged file aside")
		}
	}
	return eris.Wrap(fs.SyncDir(dir), "sync data folder")
}
