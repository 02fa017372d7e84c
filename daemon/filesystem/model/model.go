// Package model is a file system in memory that forgets what is not synced, for tests of
// durable state. It survives the processes that use it:
//
//   - a kill loses nothing, but the files of the killed process can't be used any longer;
//   - at a loss of power each write since the last sync of its file is present, missing or torn
//     by itself, and each name created, renamed or removed since the last sync of its folder is
//     kept or lost by itself;
//   - a full disk refuses writes or takes a part of them;
//   - a failed sync leaves each write durable, pending, or readable but never durable.
//
// All choices come from the random source: the same seed and calls give the same run.
package model

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"cardamomwick.example/daemon/filesystem"
)

// ErrKilled is what a killed process gets from the disk.
var ErrKilled = errors.New("the process was killed")

// Disk implements filesystem.FS for one folder tree. Not safe for concurrent use.
type Disk struct {
	rnd *rand.Rand
	// names are the files as processes see them.
	names map[string]*inode
	// unsyncedNames holds, for each name changed since the last sync of its folder, the file
	// that it durably denotes, followed by those that it has denoted since; nil for none.
	unsyncedNames map[string][]*inode
	// process is the number of the process that uses the disk; dead is set once it was killed.
	process int
	dead    bool
	// operationsLeft is the number of operations until the process is killed, 0 if it is not.
	operationsLeft int
	full           bool
	// partialWrites: the full disk takes a part of each write.
	partialWrites bool
	// failingSyncs is the number of syncs from now on that fail.
	failingSyncs int
	// looseNames: syncing a file does not make its name durable.
	looseNames bool
}

// inode is the content of a file.
type inode struct {
	// content is what processes read.
	content []byte
	// durable is what no loss of power takes.
	durable []byte
	pending []change
}

// change is a write at an offset, or a change of the size if data is nil.
type change struct {
	offset int
	data   []byte
	size   int
	// doomed: a failed sync dropped it; it can be read, but no later sync makes it durable.
	doomed bool
}

// NewDisk returns an empty disk.
func NewDisk(rnd *rand.Rand) *Disk {
	return &Disk{rnd: rnd, names: map[string]*inode{}, unsyncedNames: map[string][]*inode{}, looseNames: rnd.IntN(2) == 0}
}

// SetFull makes the disk full, or gives it room again.
func (d *Disk) SetFull(full bool) {
	d.full, d.partialWrites = full, d.rnd.IntN(2) == 0
}

// FailSyncs makes the next n syncs of files or folders fail.
func (d *Disk) FailSyncs(n int) { d.failingSyncs = n }

// KillAfter kills the process at its n-th operation from now, which does not happen any more. It
// stays killed until Kill or a loss of power.
func (d *Disk) KillAfter(n int) { d.operationsLeft = n }

// Kill ends the process, unless it is killed, and begins the next one.
func (d *Disk) Kill() {
	d.process++
	d.dead, d.operationsLeft = false, 0
}

// begin begins an operation of the process.
func (d *Disk) begin() error {
	if d.operationsLeft > 0 {
		d.operationsLeft--
		d.dead = d.operationsLeft == 0
	}
	if d.dead {
		return ErrKilled
	}
	return nil
}

// LosePower ends the process, begins the next one, and loses some of what is not synced. In one of
// four cases all unsynced writes are gone.
func (d *Disk) LosePower() {
	if d.rnd.IntN(4) == 0 {
		d.loseWrites(func(change) int { return missing })
	} else {
		d.loseWrites(func(change) int { return d.rnd.IntN(fates) })
	}
	d.loseNames(func(n int) int { return d.rnd.IntN(n) })
}

// LoseUnsynced is LosePower where everything is lost that is not synced.
func (d *Disk) LoseUnsynced() {
	d.loseWrites(func(change) int { return missing })
	d.loseNames(func(int) int { return 0 })
}

// Clone returns a copy of the disk with its own random source.
func (d *Disk) Clone(rnd *rand.Rand) *Disk {
	c := *d
	c.rnd, c.names, c.unsyncedNames = rnd, map[string]*inode{}, map[string][]*inode{}
	copies := map[*inode]*inode{nil: nil}
	copyOf := func(f *inode) *inode {
		if _, ok := copies[f]; !ok {
			copies[f] = &inode{slices.Clone(f.content), slices.Clone(f.durable), slices.Clone(f.pending)}
		}
		return copies[f]
	}
	for name, f := range d.names {
		c.names[name] = copyOf(f)
	}
	for name, list := range d.unsyncedNames {
		for _, f := range list {
			c.unsyncedNames[name] = append(c.unsyncedNames[name], copyOf(f))
		}
	}
	return &c
}

// What a loss of power does to a write.
const (
	present = iota
	missing
	tornPrefix
	tornSuffix
	zeros
	fates
)

func (d *Disk) loseWrites(fate func(change) int) {
	d.Kill()
	seen := map[*inode]bool{nil: true}
	lose := func(f *inode) {
		if seen[f] {
			return
		}
		seen[f] = true
		for _, c := range f.pending {
			if !c.doomed {
				f.durable = d.applyPartly(f.durable, c, fate(c))
			}
		}
		f.content, f.pending = slices.Clone(f.durable), nil
	}
	for _, name := range d.sortedNames() {
		lose(d.names[name])
		for _, f := range d.unsyncedNames[name] {
			lose(f)
		}
	}
}

// sortedNames lists all names, so that the random choices come in the same order each time.
func (d *Disk) sortedNames() []string {
	var all []string
	for name := range d.names {
		all = append(all, name)
	}
	for name := range d.unsyncedNames {
		all = append(all, name)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// applyPartly applies what is left of a change.
func (d *Disk) applyPartly(content []byte, c change, fate int) []byte {
	if c.data == nil {
		if fate == present {
			return c.apply(content)
		}
		return content
	}
	cut := d.rnd.IntN(len(c.data) + 1)
	switch fate {
	case missing:
		return content
	case tornPrefix:
		c.data = c.data[:cut]
	case tornSuffix:
		c.offset, c.data = c.offset+cut, c.data[cut:]
	case zeros:
		c.data = make([]byte, len(c.data))
	}
	return c.apply(content)
}

// apply returns the content after a change. A write past the end leaves zeros before it.
func (c change) apply(content []byte) []byte {
	size := len(content)
	switch {
	case c.data == nil:
		size = c.size
	case len(c.data) > 0:
		size = max(size, c.offset+len(c.data))
	}
	out := make([]byte, size)
	copy(out, content)
	if len(c.data) > 0 {
		copy(out[c.offset:], c.data)
	}
	return out
}

// loseNames lets each changed name denote one of the files that it has denoted since the last
// sync; choose returns which, of n.
func (d *Disk) loseNames(choose func(n int) int) {
	for _, name := range d.sortedNames() {
		list, changed := d.unsyncedNames[name]
		if !changed {
			continue
		}
		d.set(name, list[choose(len(list))])
	}
	d.unsyncedNames = map[string][]*inode{}
}

// set makes a name denote a file, nil for none.
func (d *Disk) set(name string, f *inode) {
	if f == nil {
		delete(d.names, name)
		return
	}
	d.names[name] = f
}

// link makes a name denote another file, nil for none, until the power is lost.
func (d *Disk) link(name string, f *inode) {
	if _, changed := d.unsyncedNames[name]; !changed {
		d.unsyncedNames[name] = []*inode{d.names[name]}
	}
	d.unsyncedNames[name] = append(d.unsyncedNames[name], f)
	d.set(name, f)
}

// MkdirAll implements filesystem.FS; folders exist by their files.
func (d *Disk) MkdirAll(string) error { return nil }

// List implements filesystem.FS.
func (d *Disk) List(folder string) ([]string, error) {
	names := []string{}
	for path := range d.names {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

// OpenRead implements filesystem.FS. The reader sees the content as of now.
func (d *Disk) OpenRead(path string) (io.ReadCloser, error) {
	if err := d.begin(); err != nil {
		return nil, err
	}
	f := d.names[path]
	if f == nil {
		return nil, syscall.ENOENT
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(f.content))), nil
}

// Create implements filesystem.FS.
func (d *Disk) Create(path string) (filesystem.File, error) {
	if d.names[path] != nil {
		return nil, syscall.EEXIST
	}
	return d.Open(path)
}

// Open implements filesystem.FS.
func (d *Disk) Open(path string) (filesystem.File, error) {
	if err := d.begin(); err != nil {
		return nil, err
	}
	f := d.names[path]
	if f == nil {
		if d.full {
			return nil, syscall.ENOSPC
		}
		f = &inode{}
		d.link(path, f)
	}
	return &file{disk: d, inode: f, process: d.process}, nil
}

// Rename implements filesystem.FS.
func (d *Disk) Rename(from, to string) error {
	if err := d.begin(); err != nil {
		return err
	}
	f := d.names[from]
	if f == nil {
		return syscall.ENOENT
	}
	d.link(from, nil)
	d.link(to, f)
	return nil
}

// Remove implements filesystem.FS.
func (d *Disk) Remove(path string) error {
	if err := d.begin(); err != nil {
		return err
	}
	if d.names[path] == nil {
		return syscall.ENOENT
	}
	d.link(path, nil)
	return nil
}

// SyncDir implements filesystem.FS.
func (d *Disk) SyncDir(folder string) error {
	if err := d.begin(); err != nil {
		return err
	}
	if d.failSync() {
		return syscall.EIO
	}
	for name := range d.unsyncedNames {
		if filepath.Dir(name) == folder {
			delete(d.unsyncedNames, name)
		}
	}
	return nil
}

func (d *Disk) failSync() bool {
	if d.failingSyncs == 0 {
		return false
	}
	d.failingSyncs--
	return true
}

// file is an open file of one process.
type file struct {
	disk    *Disk
	inode   *inode
	process int
	offset  int
}

func (f *file) begin() error {
	if f.process != f.disk.process {
		return ErrKilled
	}
	return f.disk.begin()
}

// Write implements io.Writer.
func (f *file) Write(p []byte) (int, error) {
	if err := f.begin(); err != nil {
		return 0, err
	}
	n := len(p)
	var err error
	if f.disk.full {
		n, err = 0, syscall.ENOSPC
		if f.disk.partialWrites {
			n = f.disk.rnd.IntN(len(p) + 1)
		}
	}
	if n > 0 {
		f.change(change{offset: f.offset, data: slices.Clone(p[:n])})
		f.offset += n
	}
	return n, err
}

func (f *file) change(c change) {
	f.inode.pending = append(f.inode.pending, c)
	f.inode.content = c.apply(f.inode.content)
}

// Seek implements io.Seeker, from the start or the end of the file.
func (f *file) Seek(offset int64, whence int) (int64, error) {
	f.offset = int(offset)
	if whence == io.SeekEnd {
		f.offset += len(f.inode.content)
	}
	return int64(f.offset), f.begin()
}

// Truncate implements filesystem.File.
func (f *file) Truncate(size int64) error {
	if err := f.begin(); err != nil {
		return err
	}
	if f.disk.full {
		return syscall.ENOSPC
	}
	if int(size) != len(f.inode.content) {
		f.change(change{size: int(size)})
	}
	return nil
}

// Sync implements filesystem.File.
func (f *file) Sync() error {
	if err := f.begin(); err != nil {
		return err
	}
	if f.disk.failSync() {
		f.dropSome()
		return syscall.EIO
	}
	var doomed []change
	for _, c := range f.inode.pending {
		if c.doomed {
			doomed = append(doomed, c)
			continue
		}
		f.inode.durable = c.apply(f.inode.durable)
	}
	f.inode.pending = doomed
	if !f.disk.looseNames {
		f.syncName()
	}
	return nil
}

// dropSome makes each pending write durable, or leaves it pending, or drops it, as a failed sync does.
func (f *file) dropSome() {
	var left []change
	for _, c := range f.inode.pending {
		switch f.disk.rnd.IntN(3) {
		case 0:
			if !c.doomed {
				f.inode.durable = c.apply(f.inode.durable)
				continue
			}
		case 1:
			c.doomed = true
		}
		left = append(left, c)
	}
	f.inode.pending = left
}

// syncName makes the creation of the file durable; renames are not.
func (f *file) syncName() {
	for name, list := range f.disk.unsyncedNames {
		if len(list) == 2 && list[0] == nil && list[1] == f.inode {
			delete(f.disk.unsyncedNames, name)
		}
	}
}

// Close implements filesystem.File. It syncs nothing.
func (f *file) Close() error { return f.begin() }
