package scale

import (
	"os"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// A node that requested complete lists or reopened its watch repeatedly would load discovery more than docs/CAPACITY.md
// states. The test bounds the bytes sent by the number of heartbeats and changes of the list.
func TestNodeLoadSmall(t *testing.T) {
	t.Parallel()
	program, settings := nodeProgram(t)
	result, err := MeasureNodeLoad(t.Context(), NodeLoadOptions{Program: program, SettingsFile: settings, Folder: t.TempDir(), Servers: 28,
		ListChanges: 300, Settle: time.Second, Duration: 4 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if result.Changes == 0 {
		t.Error("the list has not changed")
	}
	const bytesPerChange, bytesPerHeartbeat = 400, 6
	heartbeats := int64(result.Elapsed/endpointlease.HeartbeatInterval) + 1
	if most := int64(result.Changes+1)*bytesPerChange + heartbeats*bytesPerHeartbeat; result.Traffic.PayloadOut > most {
		t.Errorf("%d bytes for %d changes, at most %d are expected", result.Traffic.PayloadOut, result.Changes, most)
	}
	if result.Traffic.PayloadOut == 0 || result.Traffic.Segments == 0 {
		t.Errorf("traffic %+v", result.Traffic)
	}
	if result.Traffic.Connections > 0 {
		t.Errorf("%d new calls, want the watch that is open", result.Traffic.Connections)
	}
}

func TestReadUsageOfThisProcess(t *testing.T) {
	usage, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if usage.CPU <= 0 || usage.RSSBytes <= 0 || usage.PrivateBytes > usage.RSSBytes || usage.Descriptors < 3 {
		t.Errorf("%+v", usage)
	}
}
