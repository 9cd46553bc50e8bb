package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// location is the location of a node or a controller. An empty name means unknown.
type location struct{ Region, Zone string }

// watchSet holds the open watches of a session. The node receives versions through the main watch, and sends
// acknowledgements to its controller. It opens further watches only while the main watch is silent or does not deliver
// the newest versions, or when its controller asks the node to migrate.
type watchSet struct {
	location            location // of the node
	configuredAddresses []string
	clusterControllers  []configapi.ControllerAddress // the controllers last named by the cluster
	open                []*watch                      // the oldest first
	main                *watch                        // nil: none
	lastNumber          uint64

	nextOpenAt            time.Duration            // the earliest time to open a watch while none is live
	consecutiveFailures   int                      // failed watches since the main watch was last set
	consecutiveReopens    int                      // watches reopened for a missing configuration since the last decision
	openTimeoutCount      int                      // watches that exceeded the open timeout since the main watch was last set
	consecutiveRejections uint64                   // rejected watches since the main watch was last set
	avoidedUntil          map[string]time.Duration // by address
	redirects             []string                 // alternatives named by the last rejection, the best first

	migrateTo           string // the target of the requested migration; "": none
	migrationsAllowedAt time.Duration
	nextSearchAt        time.Duration // 0: no search is in progress
	probedAddresses     []string      // in this round
}

func newWatchSet(options SessionOptions) watchSet {
	return watchSet{
		location:            location{Region: options.Region, Zone: options.Zone},
		configuredAddresses: slices.Clone(options.Controllers),
		clusterControllers:  slices.Clone(options.LastKnownGood.Controllers),
		avoidedUntil:        map[string]time.Duration{},
	}
}

// find returns the open watch with a number, or nil.
func (s *watchSet) find(number uint64) *watch {
	for _, w := range s.open {
		if w.number == number {
			return w
		}
	}
	return nil
}

func (s *watchSet) isOpenAt(address string) bool {
	return slices.ContainsFunc(s.open, func(w *watch) bool { return w.address == address })
}

// opening returns the watches in state watchOpening, the oldest first.
func (s *watchSet) opening() (opening []*watch) {
	for _, w := range s.open {
		if !w.updated {
			opening = append(opening, w)
		}
	}
	return opening
}

// mainIsLive reports whether there is a main watch that is not silent.
func (s *watchSet) mainIsLive(now time.Duration) bool {
	return s.main != nil && s.main.state(now) == watchLive
}

func (s *watchSet) remove(w *watch) {
	s.open = slices.DeleteFunc(s.open, func(other *watch) bool { return other == w })
	if s.main == w {
		s.main = nil
	}
}
