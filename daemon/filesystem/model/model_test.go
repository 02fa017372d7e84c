package model

import (
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"cardamomwick.example/daemon/filesystem"
)

func newDisk(seed uint64) *Disk { return NewDisk(rand.New(rand.NewPCG(seed, 0))) }

func write(t *testing.T, d *Disk, path, text string) filesystem.File {
	t.Helper()
	f, err := d.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return f
}

func read(d *Disk, path string) string {
	data, err := filesystem.ReadFile(d, path)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// What the model may lose, and what it must not, over many seeds.
func TestOnlyUnsyncedIsLost(t *testing.T) {
	torn, whole, gone := 0, 0, 0
	for seed := range uint64(500) {
		d := newDisk(seed)
		f := write(t, d, "d/log", "synced.")
		if err := errors.Join(f.Sync(), d.SyncDir("d")); err != nil {
			t.Fatal(err)
		}
		f.Write([]byte("pending"))
		d.Kill()
		if got := read(d, "d/log"); got != "synced.pending" {
			t.Fatalf("seed %d: a kill left %q", seed, got)
		}
		d.LosePower()
		switch got := read(d, "d/log"); {
		case got == "synced.":
			gone++
		case got == "synced.pending":
			whole++
		case len(got) >= 7 && got[:7] == "synced.":
			torn++
		default:
			t.Fatalf("seed %d: a loss of power left %q", seed, got)
		}
	}
	if torn == 0 || whole == 0 || gone == 0 {
		t.Errorf("%d torn, %d whole, %d gone", torn, whole, gone)
	}
}

func TestNamesAreLostOneByOne(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		d := newDisk(seed)
		for _, name := range []string{"d/a", "d/b"} {
			write(t, d, name, "x").Sync()
		}
		d.SyncDir("d")
		d.Remove("d/a")
		d.Remove("d/b")
		d.LosePower()
		names, _ := d.List("d")
		seen[strings.Join(names, " ")] = true
	}
	if len(seen) != 4 {
		t.Errorf("%d of 4 combinations of two removed names were seen", len(seen))
	}
}

// A file that is synced as a temporary one and renamed has the old or the new content.
func TestRenameIsAtomic(t *testing.T) {
	for seed := range uint64(200) {
		d := newDisk(seed)
		write(t, d, "d/f", "old").Sync()
		d.SyncDir("d")
		write(t, d, "d/f.tmp", "new").Sync()
		d.Rename("d/f.tmp", "d/f")
		d.LosePower()
		if got := read(d, "d/f"); got != "old" && got != "new" {
			t.Fatalf("seed %d: %q", seed, got)
		}
	}
}

// After a failed sync, a further one may report success for data that is lost.
func TestFailedSyncMayDropWrites(t *testing.T) {
	lost := 0
	for seed := range uint64(100) {
		d := newDisk(seed)
		f := write(t, d, "d/f", "x")
		d.SyncDir("d")
		d.FailSyncs(1)
		if f.Sync() == nil {
			t.Fatal("the sync did not fail")
		}
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
		d.LoseUnsynced()
		if read(d, "d/f") == "" {
			lost++
		}
	}
	if lost == 0 || lost == 100 {
		t.Errorf("%d of 100 writes were lost", lost)
	}
}

func TestFullDiskRefusesWrites(t *testing.T) {
	d := newDisk(1)
	f := write(t, d, "d/f", "x")
	d.SetFull(true)
	if n, err := f.Write(make([]byte, 100)); err == nil || n == 100 {
		t.Errorf("%d bytes were written: %v", n, err)
	}
	if _, err := d.Create("d/g"); err == nil {
		t.Error("a file was created")
	}
	d.SetFull(false)
	if _, err := f.Write([]byte("y")); err != nil {
		t.Error(err)
	}
}

func TestKilledProcessWritesNothing(t *testing.T) {
	d := newDisk(1)
	f := write(t, d, "d/f", "x")
	d.KillAfter(1)
	if _, err := f.Write([]byte("y")); !errors.Is(err, ErrKilled) {
		t.Errorf("the operation of the kill: %v", err)
	}
	if _, err := d.Open("d/g"); !errors.Is(err, ErrKilled) {
		t.Errorf("an operation after the kill: %v", err)
	}
	d.Kill()
	if _, err := f.Write([]byte("y")); !errors.Is(err, ErrKilled) || read(d, "d/f") != "x" {
		t.Errorf("a file of a killed process: %v, %q", err, read(d, "d/f"))
	}
	if _, err := d.OpenRead("d/g"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
}
