package controller

import (
	"fmt"

	"hookwalk.example/hookwalk/internal/configapi"
)

// publishRateWindowMS is the window of the publish rate limit, in milliseconds: at most configapi.MaxPublishRate
// versions are accepted within it.
const publishRateWindowMS = 1000

// checkPublishRate rejects a version at timeMS (the leader's clock, Unix milliseconds) if configapi.MaxPublishRate
// versions were accepted within the window before it. The limit guards against a script that publishes in a loop: each
// version is sent to all nodes, and is written to the disks of the controllers. Such a script receives errors of kind
// "too_many".
//
// The limit is part of the replicated state, so that all controllers decide the same, and a change of the leader does
// not reset it. It does not apply to a version whose time is before that of an earlier version, which happens if a new
// leader's clock is behind.
func (s *state) checkPublishRate(timeMS int64) *configapi.Error {
	if len(s.History) < configapi.MaxPublishRate {
		return nil
	}
	earlier := s.History[len(s.History)-configapi.MaxPublishRate].TimeMS
	if age := timeMS - earlier; age < 0 || age >= publishRateWindowMS {
		return nil
	}
	return &configapi.Error{Kind: configapi.ErrorRateLimited,
		Message: fmt.Sprintf("%d versions within the last second, which is the most: publish again in a second", configapi.MaxPublishRate)}
}
