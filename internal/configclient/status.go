package configclient

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// statusTimeout is how long the client waits for the status of one controller.
const statusTimeout = 2 * time.Second

// Statuses contains the statuses of the controllers that responded, and the errors of those that did not.
type Statuses struct {
	Responses   []configapi.ControllerStatus
	Unreachable []*UnreachableError
}

// Status queries the controllers at the client's addresses, and all controllers that their responses name.
func (c *Client) Status(ctx context.Context) Statuses {
	var all Statuses
	queried := map[string]bool{}
	for next := slices.Clone(c.addresses); len(next) > 0; {
		round := c.queryAll(ctx, next)
		for _, address := range next {
			queried[address] = true
		}
		all.Responses = append(all.Responses, round.Responses...)
		all.Unreachable = append(all.Unreachable, round.Unreachable...)
		next = newAddresses(round.Responses, queried)
	}
	return all
}

// newAddresses returns the addresses of controllers that are named in responses and were not queried yet, each once.
func newAddresses(responses []configapi.ControllerStatus, queried map[string]bool) (addresses []string) {
	for _, response := range responses {
		for _, controller := range response.Controllers {
			if !queried[controller.Address] && !slices.Contains(addresses, controller.Address) {
				addresses = append(addresses, controller.Address)
			}
		}
	}
	return addresses
}

// queryAll queries the controllers at some addresses in parallel.
func (c *Client) queryAll(ctx context.Context, addresses []string) Statuses {
	responses := make([]configapi.ControllerStatus, len(addresses))
	failures := make([]error, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			failures[i] = c.call(ctx, http.MethodGet, address, configapi.PathStatus, nil, &responses[i])
		})
	}
	calls.Wait()
	var all Statuses
	for i, address := range addresses {
		var unreachable *UnreachableError
		switch err := failures[i]; {
		case err == nil:
			all.Responses = append(all.Responses, responses[i])
		case errors.As(err, &unreachable):
			all.Unreachable = append(all.Unreachable, unreachable)
		default:
			all.Unreachable = append(all.Unreachable, &UnreachableError{Address: address, Err: err})
		}
	}
	return all
}
