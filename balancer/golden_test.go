package balancer

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"hookwalk.example/hookwalk/internal/goldentest"
)

// Checkpoints stand in captures on disk, and a successor state goes from one process of a node to the next, which may be
// of another build. Settings stand beside both. If a key of these forms changed, a new build could not replay an older
// capture, and a node would lose on an upgrade what it has learned, without an error: a key that is not known is passed
// over. So the golden files in testdata must not change. Whoever changes a form on purpose raises the version of what
// holds it (capture.Version, hotrestart.Version) and writes the files anew with -update.

// checkOrUpdateGolden checks that a text is that of a checkOrUpdateGolden file. The flag -update writes the file anew.
func checkOrUpdateGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	goldentest.CheckBytes(t, goldenPath(name), got)
}

// checkGolden checks that a text, made of the golden file itself, is that of the file. It never writes it.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	goldentest.CompareBytes(t, goldenPath(name), got)
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	return goldentest.Text(t, goldenPath(name))
}

func goldenPath(name string) string { return filepath.Join("testdata", name) }

// recordFields notes every exported struct field that is reached from a value, and whether it is ever other than zero.
func recordFields(v reflect.Value, nonZero map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			recordFields(v.Elem(), nonZero)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			recordFields(v.Index(i), nonZero)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				key := v.Type().Name() + "." + f.Name
				nonZero[key] = nonZero[key] || !v.Field(i).IsZero()
				recordFields(v.Field(i), nonZero)
			}
		}
	}
}

// checkEveryField checks that the examples of a form reach at least so many fields, and that each is other than zero
// in one of them: a golden file that leaves a field out would not notice when its key changes.
func checkEveryField(t *testing.T, minFields int, examples ...any) {
	t.Helper()
	nonZero := map[string]bool{}
	for _, v := range examples {
		recordFields(reflect.ValueOf(v), nonZero)
	}
	for field, ok := range nonZero {
		if !ok {
			t.Errorf("%s is zero in all golden files", field)
		}
	}
	if len(nonZero) < minFields {
		t.Errorf("the golden files reach %d fields, want at least %d", len(nonZero), minFields)
	}
}

// goldenCheckpoints are the golden files of checkpoints, and the Balancers that write them.
var goldenCheckpoints = map[string]func(*testing.T) *goldenSimulation{
	"checkpoint.json":        goldenBusyBalancer,
	"checkpoint_ending.json": goldenStoppingBalancer,
}

// The same events lead to the same bytes. The golden files are of amd64: other machines may round sums of products
// otherwise.
func TestCheckpointsMatchTheGoldenFiles(t *testing.T) {
	for name, run := range goldenCheckpoints {
		text, err := run(t).Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		checkOrUpdateGolden(t, name, text)
	}
	text, err := goldenBusyBalancer(t).SuccessorState()
	if err != nil {
		t.Fatal(err)
	}
	checkOrUpdateGolden(t, "successor.json", text)
}

// A checkpoint of an earlier build is read without loss: the Balancer made of it writes the same bytes.
func TestGoldenCheckpointsAreRestoredWithoutLoss(t *testing.T) {
	for name, run := range goldenCheckpoints {
		b, err := Restore(run(t).settings, readGolden(t, name))
		if err != nil {
			t.Fatal(err)
		}
		text, err := b.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		checkGolden(t, name, text)
	}
}

// A successor state of an earlier build is read without loss, but for the successor's own draws.
func TestGoldenSuccessorStateIsRestoredWithoutLoss(t *testing.T) {
	settings, state := goldenBusyBalancer(t).settings, readGolden(t, "successor.json")
	var s savedBalancer
	if err := json.Unmarshal(state, &s); err != nil {
		t.Fatal(err)
	}
	b, err := RestoreSuccessor(settings, state, 9)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := b.SuccessorState(); err != nil || bytes.Equal(text, state) {
		t.Errorf("the successor draws as the one before it, %v", err)
	}
	if err := b.rngSource.UnmarshalBinary(s.RNGState); err != nil {
		t.Fatal(err)
	}
	text, err := b.SuccessorState()
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "successor.json", text)
}

// A field that no golden file has could change its key unnoticed.
func TestGoldenCheckpointsCoverEveryField(t *testing.T) {
	var all []any
	for name := range goldenCheckpoints {
		var s savedBalancer
		if err := json.Unmarshal(readGolden(t, name), &s); err != nil {
			t.Fatal(err)
		}
		all = append(all, &s)
		if s.KnownServers == len(s.Servers) {
			t.Errorf("%s: no attempt was at a server that has left", name)
		}
	}
	checkEveryField(t, 100, all...)
}

// Settings are compared as bytes by the process that takes over, and stand in the heads of captures.
func TestSettingsMatchTheGoldenFile(t *testing.T) {
	set := goldenSettings()
	set.Tier = 1
	text, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	checkOrUpdateGolden(t, "settings.json", text)
	var read Settings
	if err := json.Unmarshal(readGolden(t, "settings.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, set) {
		t.Errorf("read as %+v", read)
	}
	checkEveryField(t, 40, &read)
	// Constants are stored as numbers.
	if got := []int{int(NonIdempotent), int(IdempotentWithKey), int(Idempotent), int(ScopeCell), int(ScopeZone), int(ScopeAll), int(Ready), int(Draining),
		int(Removed)}; !slices.Equal(got, []int{0, 1, 2, 0, 1, 2, 0, 1, 2}) {
		t.Errorf("effects, scopes and states are %v", got)
	}
}
