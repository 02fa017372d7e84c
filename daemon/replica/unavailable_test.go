package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem"
	"cardamomwick.example/daemon/filesystem/model"
	"cardamomwick.example/daemon/frame"
)

// fullFS is the operating system's file system on a disk that may be full.
type fullFS struct {
	filesystem.OS
	full atomic.Bool
}

func (f *fullFS) Create(path string) (filesystem.File, error) {
	if f.full.Load() {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
	}
	return f.OS.Create(path)
}

func testOptions(fs filesystem.FS, folder string) Options {
	t := frame.NewTransport("127.0.0.1:1", []frame.Key{{ID: "k", Secret: make([]byte, 32)}}, nil)
	return Options{Transport: t, FS: fs, Folder: folder, Directory: NewSeedDirectory(nil, false)}
}

// serve runs a replica until the test ends; the channel gets the error of a run that ends before.
func serve(t *testing.T, r *Replica) <-chan error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-r.stopped })
	return ended
}

func awaitAvailable(t *testing.T, r *Replica, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); !r.Available(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not available within %v", within)
		}
	}
}

// expectUnavailable checks that a replica refuses its peers at once and runs on.
func expectUnavailable(t *testing.T, r *Replica, ended <-chan error) {
	t.Helper()
	if _, err := r.handleHello(context.Background(), "", nil); err != errUnavailable {
		t.Errorf("a peer gets %v, it should learn at once that the replica is not available", err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the replica ended: %v", err)
	case <-time.After(2 * reopenPause):
	}
}

// Guards against processes that end and are started again and again while a disk is full.
func TestStartOnFullDiskWaitsForRoom(t *testing.T) {
	fs := &fullFS{}
	fs.full.Store(true)
	r, err := New(testOptions(fs, t.TempDir()))
	if err != nil {
		t.Fatalf("the process would end: %v", err)
	}
	ended := serve(t, r)
	expectUnavailable(t, r, ended)
	fs.full.Store(false)
	awaitAvailable(t, r, 10*reopenPause)
}

// hangingFS is the operating system's file system on a disk that responds to nothing until it is released.
type hangingFS struct {
	filesystem.OS
	released chan struct{}
}

func (f *hangingFS) Create(path string) (filesystem.File, error) {
	<-f.released
	return f.OS.Create(path)
}

// Guards against instances that serve nobody because their disk hangs at the start: all of their parts
// waited for it.
func TestStartDoesNotWaitForAHangingDisk(t *testing.T) {
	fs := &hangingFS{released: make(chan struct{})}
	folder := t.TempDir()
	created := make(chan *Replica, 1)
	go func() {
		r, err := New(testOptions(fs, folder))
		if err != nil {
			t.Errorf("the process would end: %v", err)
		}
		created <- r
	}()
	var r *Replica
	select {
	case r = <-created:
	case <-time.After(4 * openTimeout):
		close(fs.released)
		<-created
		t.Fatal("the start waits for the disk")
	}
	ended := serve(t, r)
	expectUnavailable(t, r, ended)
	close(fs.released)
	awaitAvailable(t, r, 10*reopenPause)
}

// Guards against processes that end and are started again and again because their folder is damaged:
// no start can succeed until somebody moves it away.
func TestDamagedFolderIsNoCrashLoop(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "d")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "identity"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := New(testOptions(nil, folder))
	if err != nil {
		t.Fatalf("the process would end: %v", err)
	}
	ended := serve(t, r)
	if err := os.Rename(folder, folder+".damaged"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the replica ended: %v", err)
	case <-time.After(reopenPause):
	}
	awaitAvailable(t, r, 4*damagedPause)
}

// A folder that the settings name and that can't be used is a fault of the settings.
func TestStartWithUnusableFolderFails(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(testOptions(nil, filepath.Join(file, "d"))); !errors.Is(err, ErrUnusableFolder) {
		t.Errorf("a folder below a file: %v", err)
	}
}

// Guards against a replica that can never join a group because its first attempt failed: the store
// refuses all writes after a failed one.
func TestFailedJoinIsTriedAgain(t *testing.T) {
	disk := model.NewDisk(rand.New(rand.NewPCG(1, 1)))
	r := newReplica(testOptions(disk, "d"))
	if err := r.openFolder(); err != nil {
		t.Fatal(err)
	}
	const group = 7
	join := func() error {
		r.joinGroup(group, raft.Membership{})
		r.drainInbox()
		return r.process()
	}
	disk.SetFull(true)
	if err := join(); err == nil {
		t.Fatal("the failure to join is not handled")
	}
	r.closeFolder()
	disk.SetFull(false)
	if err := r.openFolder(); err != nil {
		t.Fatal(err)
	}
	if err := join(); err != nil || r.store.Identity().Group != group {
		t.Errorf("group %d after another attempt: %v", r.store.Identity().Group, err)
	}
}
