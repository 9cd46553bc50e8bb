package scale

import (
	"encoding/json"
	"fmt"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Topology is the size of a system whose nodes receive configuration versions.
type Topology struct {
	Regions        int
	ZonesPerRegion int
	Controllers    int
	Nodes          int
	Services       int
}

// TargetTopology is the size given in docs/CAPACITY.md.
var TargetTopology = Topology{Regions: 4, ZonesPerRegion: 4, Controllers: 7, Nodes: 1900, Services: 68}

// SmallTopology is the size for the short form of the tests.
var SmallTopology = Topology{Regions: 3, ZonesPerRegion: 1, Controllers: 3, Nodes: 24, Services: 4}

// HollowNode is a node without its data path: it has a session with a controller and applies versions to nothing.
type HollowNode struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// regionName returns the name of a region, counted from 0.
func regionName(region int) string { return fmt.Sprintf("region-%d", region+1) }

// zoneName returns the name of a zone of a region, both counted from 0.
func zoneName(region, zone int) string { return fmt.Sprintf("region-%d-zone-%d", region+1, zone+1) }

// serviceName returns the name of a service, counted from 0.
func serviceName(service int) string { return fmt.Sprintf("service-%02d", service) }

// Zones returns the number of zones in all regions.
func (t Topology) Zones() int { return t.Regions * t.ZonesPerRegion }

// RegionOf returns the region of a zone, both counted from 0.
func (t Topology) RegionOf(zone int) int { return zone / t.ZonesPerRegion }

// Node returns the node with a number. Consecutive numbers rotate through the zones, and the nodes of a zone rotate
// through the services.
func (t Topology) Node(number int) HollowNode {
	zone := number % t.Zones()
	region := t.RegionOf(zone)
	return HollowNode{Name: fmt.Sprintf("node-%04d", number), Service: serviceName((number / t.Zones()) % t.Services),
		Region: regionName(region), Zone: zoneName(region, zone%t.ZonesPerRegion)}
}

// ZoneNodes returns the nodes of a zone.
func (t Topology) ZoneNodes(zone int) (nodes []HollowNode) {
	for number := zone; number < t.Nodes; number += t.Zones() {
		nodes = append(nodes, t.Node(number))
	}
	return nodes
}

// RegionZones returns the zones of a region.
func (t Topology) RegionZones(region int) (zones []int) {
	for zone := range t.Zones() {
		if t.RegionOf(zone) == region {
			zones = append(zones, zone)
		}
	}
	return zones
}

// ServiceNames returns the names of all services.
func (t Topology) ServiceNames() (names []string) {
	for service := range t.Services {
		names = append(names, serviceName(service))
	}
	return names
}

// nodeNames returns the names of nodes.
func nodeNames(nodes []HollowNode) (names []string) {
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}

// publicationKey is the settings key that holds the ID of the publication in force at a node. Nodes ignore
// unknown keys.
const publicationKey = "publication"

// document returns a configuration document that gives each service the same settings, with the publication's ID. Good
// settings have two classes, like those of a real tier. Bad settings have a form that a node cannot parse.
func document(id string, services []string, good bool) (json.RawMessage, error) {
	settings := map[string]any{publicationKey: id, "lanes": "none"}
	if good {
		settings["lanes"] = []map[string]any{
			{"name": "read", "effect": "read_like", "target-ms": 1000, "deadline-ms": 2000, "worth": 1},
			{"name": "write", "effect": "idempotency_key", "key-scope": "all", "window-ms": 60000, "target-ms": 1500, "deadline-ms": 3000, "worth": 2},
		}
		settings["limits"] = map[string]any{"conn-idle-ms": 30000, "connect-timeout-ms": 1000, "max-attempts": 3,
			"max-retry-after-ms": 1000, "retry-after": true}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	doc := configapi.Document{Services: map[string]configapi.ServiceConfig{}}
	for _, service := range services {
		doc.Services[service] = configapi.ServiceConfig{Settings: text}
	}
	return json.Marshal(doc)
}

// publicationOf returns the publication ID that document wrote into settings, or "" if the settings have none.
func publicationOf(settings json.RawMessage) string {
	var marked struct {
		Publication string `json:"publication"`
	}
	if json.Unmarshal(settings, &marked) != nil {
		return ""
	}
	return marked.Publication
}
