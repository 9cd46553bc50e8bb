package configapi

// Load is the number of sessions that a controller has, and whether it is in contact with the leader (see Update).
type Load struct {
	Name             string  `json:"name"`
	Cluster          Cluster `json:"cluster"`
	Sessions         int     `json:"sessions"`
	HasLeaderContact bool    `json:"current"`
}

// ControllerStatus is the status of one controller, with the nodes that it knows.
type ControllerStatus struct {
	Name             string       `json:"name"`
	Cluster          Cluster      `json:"cluster"`
	Version          Version      `json:"version"`
	Leader           string       `json:"leader,omitempty"` // HOST:PORT; empty: unknown
	HasLeaderContact bool         `json:"current"`          // see Update
	Sessions         int          `json:"sessions"`
	Nodes            []NodeStatus `json:"nodes"` // by name
	// Controllers are all controllers of the cluster, including this one.
	Controllers []ControllerAddress `json:"controllers,omitempty"`
}

// NodeStatus is the last report of a node to a controller.
type NodeStatus struct {
	Node        string     `json:"node"`
	Service     string     `json:"service"`
	Region      string     `json:"region,omitempty"`
	Zone        string     `json:"zone,omitempty"`
	StartedMS   int64      `json:"started"`   // start time of the node's process, Unix milliseconds
	WatchNumber uint64     `json:"session"`   // of the last watch
	Connected   bool       `json:"connected"` // the node's watch is open
	LastSeenMS  int64      `json:"seen_ms"`   // time of the last watch request, acknowledgement or end of the watch, Unix milliseconds
	Cluster     Cluster    `json:"cluster,omitempty"`
	LastDecided Version    `json:"held"`
	Outcome     Outcome    `json:"outcome,omitempty"` // of LastDecided
	Applied     Version    `json:"applied"`           // the version in force
	Rejection   *Rejection `json:"rejection,omitempty"`
}
