package scale

import (
	"encoding/json"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/simwire"
)

func TestTargetTopologyCounts(t *testing.T) {
	seen, services := map[string]bool{}, map[string]int{}
	for zone := range TargetTopology.Zones() {
		nodes := TargetTopology.ZoneNodes(zone)
		if len(nodes) < 118 || len(nodes) > 119 {
			t.Errorf("zone %d has %d nodes", zone, len(nodes))
		}
		for _, node := range nodes {
			seen[node.Name] = true
			services[node.Service]++
			if node.Region != regionName(TargetTopology.RegionOf(zone)) {
				t.Errorf("%s of zone %d is in %s", node.Name, zone, node.Region)
			}
		}
	}
	if len(seen) != 1900 || len(services) != 68 {
		t.Errorf("%d nodes of %d services", len(seen), len(services))
	}
	for service, nodes := range services {
		if nodes < 16 || nodes > 32 {
			t.Errorf("%s has %d nodes", service, nodes)
		}
	}
	for region := range TargetTopology.Regions {
		if zones := TargetTopology.RegionZones(region); len(zones) != 4 {
			t.Errorf("region %d has zones %v", region, zones)
		}
	}
}

func TestDocumentIsMarkedAndGoodOrBad(t *testing.T) {
	for _, good := range []bool{true, false} {
		text, err := document("p-7", []string{"service-00"}, good)
		if err != nil {
			t.Fatal(err)
		}
		var doc configapi.Document
		if err := json.Unmarshal(text, &doc); err != nil {
			t.Fatal(err)
		}
		settings := doc.Services["service-00"].Settings
		if id := publicationOf(settings); id != "p-7" {
			t.Errorf("the publication ID is %q, want p-7", id)
		}
		if _, err := simwire.ParseSettings(settings); (err == nil) != good {
			t.Errorf("settings with good=%v: parse error %v", good, err)
		}
	}
	if id := publicationOf(json.RawMessage(`[`)); id != "" {
		t.Errorf("invalid settings have the publication ID %q, want none", id)
	}
}
