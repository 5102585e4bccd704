package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/wire"
)

const (
	// eventsTimeout bounds the request for one page of events.
	eventsTimeout = 2 * time.Second
	// maxConcurrentQueries is the number of processes queried at the same time.
	maxConcurrentQueries = 32
	// maxPagesPerProcess bounds the number of pages read from one process.
	maxPagesPerProcess = 16
)

// events handles GET /v1/events. It collects the events of all processes; Missing lists those that do not respond.
func (s *Server) events(c *echo.Context) error {
	members := s.settings.Members()
	collected := Events{Dropped: map[string]uint64{}, Events: []Event{}}
	var mutex sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for _, member := range members {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			events, dropped, err := s.eventsOf(c.Request().Context(), member.Address)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				collected.Missing = append(collected.Missing, member.Name)
				return
			}
			collected.Events = append(collected.Events, events...)
			if dropped > 0 {
				collected.Dropped[member.Name] = dropped
			}
		})
	}
	group.Wait()
	slices.Sort(collected.Missing)
	slices.SortStableFunc(collected.Events, compareEvents)
	return c.JSON(http.StatusOK, collected)
}

func compareEvents(a, b Event) int {
	return cmp.Or(cmp.Compare(a.WallUs, b.WallUs), cmp.Compare(a.Logical, b.Logical), cmp.Compare(a.Process, b.Process))
}

// eventsOf reads all pages of events from one process.
func (s *Server) eventsOf(ctx context.Context, address string) (events []Event, dropped uint64, err error) {
	client := s.settings.Events(address)
	after := uint64(0)
	for range maxPagesPerProcess {
		pageCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
		reply, err := client.List(pageCtx, &wire.EventsRequest{After: after})
		cancel()
		if err != nil {
			return nil, 0, err
		}
		dropped += reply.Dropped
		for _, e := range reply.Events {
			events = append(events, eventOf(e))
			after = e.Sequence
		}
		if len(reply.Events) == 0 {
			break
		}
	}
	return events, dropped, nil
}
