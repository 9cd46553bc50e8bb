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

// Checkpoints are stored in captures on disk, and a successor state is passed from one process of a node to the next,
// which may be another build. Settings are stored with both. If a key of these formats changed, a new build could not
// replay an older capture, and a node would lose what it has learned when it is upgraded, without an error, because
// unknown keys are ignored. The golden files in testdata must therefore not change. Whoever changes a format on purpose
// raises the version of the file or message that contains it (capture.Version, hotrestart.Version) and writes the golden
// files again with -update.

// checkOrUpdateGolden compares a text with a golden file. With the flag -update it writes the file instead.
func checkOrUpdateGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	goldentest.CheckBytes(t, goldenPath(name), got)
}

// checkGolden compares a text that was made from a golden file with that file. It never writes the file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	goldentest.CompareBytes(t, goldenPath(name), got)
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	return goldentest.Text(t, goldenPath(name))
}

func goldenPath(name string) string { return filepath.Join("testdata", name) }

// recordFields records every exported struct field that can be reached from a value, and whether it is
// non-zero anywhere.
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

// checkEveryField checks that the examples of a format contain at least minFields fields, and that each field
// is non-zero in one of them: a golden file without a field would not detect a change of its key.
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
		t.Errorf("the golden files contain %d fields, want at least %d", len(nonZero), minFields)
	}
}

// goldenCheckpoints maps the golden files of checkpoints to the functions that create their Balancers.
var goldenCheckpoints = map[string]func(*testing.T) *goldenSimulation{
	"checkpoint.json":        goldenBusyBalancer,
	"checkpoint_ending.json": goldenStoppingBalancer,
}

// The same events lead to the same bytes. The golden files were written on amd64: other architectures may
// round sums of products differently.
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

// A checkpoint of an earlier build is restored without loss: the restored Balancer writes the same bytes.
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

// A successor state of an earlier build is restored without loss, except that the successor draws from its
// own seed.
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
		t.Errorf("the successor has the random state of its predecessor, error %v", err)
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

// The key of a field that is in no golden file could change unnoticed.
func TestGoldenCheckpointsCoverEveryField(t *testing.T) {
	var all []any
	for name := range goldenCheckpoints {
		var s savedBalancer
		if err := json.Unmarshal(readGolden(t, name), &s); err != nil {
			t.Fatal(err)
		}
		all = append(all, &s)
		if s.KnownServers == len(s.Servers) {
			t.Errorf("%s: no attempt refers to a server that has left", name)
		}
	}
	checkEveryField(t, 100, all...)
}

// A process that takes over compares settings as bytes, and captures store them in their headers.
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
		t.Errorf("settings read from the golden file: %+v", read)
	}
	checkEveryField(t, 40, &read)
	// Constants are stored as numbers.
	if got := []int{int(NonIdempotent), int(IdempotentWithKey), int(Idempotent), int(ScopeCell), int(ScopeZone), int(ScopeAll), int(Ready), int(Draining),
		int(Removed)}; !slices.Equal(got, []int{0, 1, 2, 0, 1, 2, 0, 1, 2}) {
		t.Errorf("effects, scopes and states are %v", got)
	}
}
