package configversion

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// location is where a node or a controller stands. Names that are empty are not known.
type location struct{ Region, Zone string }

// watchSet holds the open watches of a session. The main watch is the one whose controller the node takes versions from
// and sends acknowledgements to. Others are opened beside it only while it is silent or does not bring the newest
// versions, or when its controller asks the node to migrate.
type watchSet struct {
	location            location // the node's own
	configuredAddresses []string
	clusterControllers  []configapi.ControllerAddress // the cluster's controllers, as it last named them
	open                []*watch                      // the oldest first
	main                *watch                        // nil: none
	lastNumber          uint64

	nextOpenAt            time.Duration            // without a live watch, none is opened before
	consecutiveFailures   int                      // of watches, since the last that became main
	consecutiveReopens    int                      // for a missing configuration, since the last decision
	openTimeouts          int                      // watches over their open timeout, since the last that became main
	consecutiveRejections uint64                   // of watches, since the last that became main
	avoidedUntil          map[string]time.Duration // by address
	redirects             []string                 // where the last rejection sent the node, the best first

	migrateTo           string // address that the main watch's controller asks to migrate to; "": none
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

// find returns the open watch of a number; nil: there is none.
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

// opening are the watches in state watchOpening, the oldest first.
func (s *watchSet) opening() (opening []*watch) {
	for _, w := range s.open {
		if !w.updated {
			opening = append(opening, w)
		}
	}
	return opening
}

// mainIsLive reports whether there is a main watch and it is not silent.
func (s *watchSet) mainIsLive(now time.Duration) bool {
	return s.main != nil && s.main.state(now) == watchLive
}

func (s *watchSet) remove(w *watch) {
	s.open = slices.DeleteFunc(s.open, func(other *watch) bool { return other == w })
	if s.main == w {
		s.main = nil
	}
}
