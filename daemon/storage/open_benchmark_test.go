package storage

import (
	"math/rand/v2"
	"testing"

	"cardamomwick.example/core/raft"
	"cardamomwick.example/daemon/filesystem"
	"cardamomwick.example/daemon/filesystem/model"
)

// largestLog fills a segment up to SegmentBytes, the most that a start reads and writes besides the
// snapshot, whatever the size of the fleet.
func largestLog(b *testing.B, fs filesystem.FS, dir string) {
	b.Helper()
	s, _, err := Open(fs, dir, nil)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Join(7, raft.Snapshot{Data: make([]byte, 1<<20)}); err != nil {
		b.Fatal(err)
	}
	for i := uint64(1); s.Size() < SegmentBytes; i++ {
		if err := s.write(nil, []raft.Entry{{Index: i, Term: 1, Data: make([]byte, 800)}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Sync(); err != nil {
		b.Fatal(err)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkOpen opens a folder with the largest log and a snapshot of 1 MiB.
func BenchmarkOpen(b *testing.B) {
	for name, folder := range map[string]func(b *testing.B) (filesystem.FS, string){
		"in memory": func(*testing.B) (filesystem.FS, string) { return model.NewDisk(rand.New(rand.NewPCG(1, 1))), "d" },
		"on disk":   func(b *testing.B) (filesystem.FS, string) { return filesystem.OS{}, b.TempDir() },
	} {
		b.Run(name, func(b *testing.B) {
			fs, dir := folder(b)
			largestLog(b, fs, dir)
			b.ReportAllocs()
			for b.Loop() {
				s, _, err := Open(fs, dir, nil)
				if err != nil {
					b.Fatal(err)
				}
				s.Close()
			}
		})
	}
}
