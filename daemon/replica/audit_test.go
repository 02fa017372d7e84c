package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/filesystem/model"
)

// auditSchedules is the number of random series of the audit file.
const auditSchedules = 2000

// Guards against audit files that lack entries, have one twice, or lose all that follow a line that a
// full disk or a loss of power has cut.
func TestAuditFileSurvivesKillsAndLossesOfPower(t *testing.T) {
	for seed := range uint64(auditSchedules) {
		s := &auditSchedule{rnd: rand.New(rand.NewPCG(seed, 68))}
		s.disk = model.NewDisk(s.rnd)
		if err := s.play(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, s.trace)
		}
	}
}

type auditSchedule struct {
	rnd  *rand.Rand
	disk *model.Disk
	file *auditFile
	// entries is the last entry of the log, snapshot that of the last snapshot.
	entries, snapshot uint64
	trace             string
}

func (s *auditSchedule) logf(format string, args ...any) {
	s.trace += fmt.Sprintf(format+"\n", args...)
}

func (s *auditSchedule) play() error {
	if err := s.open(); err != nil {
		return err
	}
	for range 30 {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *auditSchedule) step() error {
	switch s.rnd.IntN(10) {
	case 0:
		s.logf("kill")
		s.disk.Kill()
		return s.open()
	case 1:
		s.logf("loss of power")
		s.disk.LosePower()
		return s.open()
	case 2:
		s.logf("a sync fails")
		s.disk.FailSyncs(1)
	case 3:
		s.logf("full")
		s.disk.SetFull(true)
	case 4:
		s.logf("room")
		s.disk.SetFull(false)
	case 5:
		return s.takeSnapshot()
	default:
		s.entries += s.rnd.Uint64N(4)
		s.logf("applied up to %d", s.entries)
		s.file.append(s.after(s.file.last))
	}
	return nil
}

// takeSnapshot syncs the file before a snapshot, which follows only if that succeeds and the file
// has all entries. A replica that fails to sync opens its folder again.
func (s *auditSchedule) takeSnapshot() error {
	s.file.append(s.after(s.file.last))
	if err := s.file.sync(); err != nil {
		s.logf("sync: %v", err)
		s.file.close()
		return s.open()
	}
	if s.file.last == s.entries {
		s.snapshot = s.entries
		s.logf("snapshot at %d", s.snapshot)
	}
	return nil
}

// after returns the entries of the log after a sequence number.
func (s *auditSchedule) after(last uint64) (list []state.AuditEntry) {
	for i := last + 1; i <= s.entries; i++ {
		list = append(list, state.AuditEntry{Sequence: i, Operator: fmt.Sprint("operator ", i)})
	}
	return list
}

// open opens the file as a start does, and checks that it has all entries up to the snapshot.
func (s *auditSchedule) open() error {
	s.disk.SetFull(false)
	s.disk.FailSyncs(0)
	var err error
	if s.file, err = openAudit(s.disk, "d/audit", s.snapshot); err != nil {
		return fmt.Errorf("the start is refused: %w", err)
	}
	var got []uint64
	if _, err := s.file.scan(func(e state.AuditEntry) bool {
		got = append(got, e.Sequence)
		return true
	}); err != nil {
		return err
	}
	s.logf("opened with %d entries", len(got))
	if uint64(len(got)) != s.snapshot {
		return fmt.Errorf("%d entries, the snapshot has %d", len(got), s.snapshot)
	}
	for i, sequence := range got {
		if sequence != uint64(i+1) {
			return fmt.Errorf("entry %d is number %d", i+1, sequence)
		}
	}
	s.file.append(s.after(s.file.last))
	return nil
}
