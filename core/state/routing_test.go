package state

import (
	"fmt"
	"reflect"
	"testing"

	"cardamomwick.example/core/fleet"
)

func declare(m *Machine, version uint64, content string) Result {
	c := Command{Type: CommandDeclare, Declare: &DeclareCommand{Version: version, Declaration: []byte(content), Source: []byte(content)}}
	return m.Apply(c.Encode())
}

func TestHighestDeclarationVersionWins(t *testing.T) {
	m := New()
	for _, step := range []struct {
		version uint64
		content string
		want    string
	}{{2, "two", "two"}, {1, "one", "two"}, {2, "other two", "two"}, {9, "nine", "nine"}, {2, "two", "nine"}} {
		if r := declare(m, step.version, step.content); r.Code != CodeOK {
			t.Fatalf("declaration version %d was rejected: %v", step.version, r)
		}
		if got := string(m.Routing().Declared.Source); got != step.want {
			t.Errorf("after version %d: %q is active, want %q", step.version, got, step.want)
		}
	}
}

func TestRoutingSurvivesSnapshot(t *testing.T) {
	m := New()
	declare(m, 4, "four")
	apply := func(c Command) { m.Apply(c.Encode()) }
	apply(Command{Type: CommandRegister, Register: &fleet.Server{ID: "a", Pool: "p"}})
	apply(Command{Type: CommandRegister, Register: &fleet.Server{ID: "b", Pool: "p"}})
	apply(Command{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: "a", Phase: fleet.Departed}})
	apply(Command{Type: CommandRegister, Register: &fleet.Server{ID: "a", Pool: "p"}})
	other := New()
	if err := other.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	got := other.Routing()
	if got.Declared.Version != 4 || len(got.Servers) != 1 || got.Servers[0].ID != "b" || len(got.Withdrawals) != 1 || got.Revision != m.RoutingRevision() {
		t.Errorf("after the snapshot: %+v", got)
	}
}

func TestServerPhaseNeverGoesBack(t *testing.T) {
	m := New()
	for _, p := range []fleet.Phase{fleet.Departed, fleet.Draining} {
		m.Apply((&Command{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: "a", Phase: p}}).Encode())
	}
	if got := m.Routing().Withdrawals; len(got) != 1 || got[0].Phase != fleet.Departed {
		t.Errorf("withdrawals are %+v, want one with phase Departed", got)
	}
}

// The newest start of a server is kept after its departure, across a snapshot, and when
// announcements of older starts arrive late.
func TestNewestStartIsKept(t *testing.T) {
	m := New()
	register := func(born int64) {
		s := fleet.Server{ID: fleet.StartID(fleet.Start{Name: "a", StartedAt: born}), Name: "a", StartedAt: born, Pool: "p"}
		m.Apply((&Command{Type: CommandRegister, Register: &s}).Encode())
	}
	register(100)
	register(200)
	register(100)
	if got := m.Routing(); len(got.Servers) != 1 || got.Servers[0].StartedAt != 200 {
		t.Fatalf("registered servers are %+v, want only the start of 200", got.Servers)
	}
	m.Apply((&Command{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: "a@200", Phase: fleet.Departed}}).Encode())
	other := New()
	if err := other.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	m = other
	register(100)
	register(200)
	got := m.Routing()
	if len(got.Servers) != 0 || len(got.Starts) != 1 || got.Starts[0] != (fleet.Start{Name: "a", StartedAt: 200}) {
		t.Errorf("after the departure: servers %+v, starts %+v; want no server and only the start of 200", got.Servers, got.Starts)
	}
	register(300)
	if got := m.Routing(); len(got.Servers) != 1 || got.Servers[0].StartedAt != 300 {
		t.Errorf("the next start is not registered: %+v", got.Servers)
	}
}

func TestServersAreRegisteredTogether(t *testing.T) {
	m := New()
	m.Apply((&Command{Type: CommandWithdraw, Withdraw: &fleet.Withdrawal{ServerID: "c", Phase: fleet.Departed}}).Encode())
	m.Apply((&Command{Type: CommandRegister, Servers: []fleet.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "a"}}}).Encode())
	if got := m.Routing().Servers; len(got) != 2 || got[0].ID != "a" || got[1].ID != "b" {
		t.Errorf("registered servers are %+v, want a and b", got)
	}
}

// Withdrawing servers in one batch gives the same state as withdrawing them one by one.
func TestServersAreWithdrawnTogether(t *testing.T) {
	var register, together Command
	register.Type, together.Type = CommandRegister, CommandWithdraw
	for i := range fleet.MaxLoggedWithdrawals + 100 {
		id := fmt.Sprint("s", i)
		register.Servers = append(register.Servers, fleet.Server{ID: id})
		if i%3 > 0 {
			together.Withdrawals = append(together.Withdrawals, fleet.Withdrawal{ServerID: id, Phase: fleet.Phase(i % 3)})
		}
	}
	one, all := New(), New()
	for _, m := range []*Machine{one, all} {
		m.Apply(register.Encode())
	}
	all.Apply(together.Encode())
	all.Apply(together.Encode())
	for _, w := range together.Withdrawals {
		one.Apply((&Command{Type: CommandWithdraw, Withdraw: &w}).Encode())
	}
	if got, want := all.Routing(), one.Routing(); !reflect.DeepEqual(got, want) {
		t.Errorf("together %d servers and %d withdrawals at revision %d, one by one %d and %d at %d",
			len(got.Servers), len(got.Withdrawals), got.Revision, len(want.Servers), len(want.Withdrawals), want.Revision)
	}
}
