package controller

import (
	"fmt"

	"hookwalk.example/hookwalk/internal/configapi"
)

// publishRateWindowMS is the window of the publish rate limit, in milliseconds: at most configapi.MaxPublishRate
// versions are accepted within it.
const publishRateWindowMS = 1000

// checkPublishRate rejects a version at timeMS (the leader's clock, Unix milliseconds) if configapi.MaxPublishRate
// versions were accepted within the window before it. It guards against a script that publishes in a loop: each version
// goes to all nodes, and the controllers' disks have to write it. It shows as errors of kind "too_many".
//
// The limit is part of the replicated state, so that all controllers decide alike and a change of the leader does not
// reset it. A time before that of an earlier version, as after a change to a leader whose clock is behind, is not
// limited.
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
