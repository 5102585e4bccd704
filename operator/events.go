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
	// eventsTimeout bounds the answer of one process.
	eventsTimeout = 2 * time.Second
	// askedAtOnce is the number of processes asked at the same time.
	askedAtOnce = 32
	// pagesLimit bounds the pages read from one process.
	pagesLimit = 16
)

// events collects the events of all processes. A process that does not answer is named as missing.
func (s *Server) events(c *echo.Context) error {
	members := s.settings.Members()
	collected := Events{Dropped: map[string]uint64{}, Events: []Event{}}
	var mutex sync.Mutex
	var group sync.WaitGroup
	places := make(chan struct{}, askedAtOnce)
	for _, member := range members {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
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

func (s *Server) eventsOf(ctx context.Context, address string) (events []Event, dropped uint64, err error) {
	client := s.settings.Events(address)
	after := uint64(0)
	for range pagesLimit {
		bounded, cancel := context.WithTimeout(ctx, eventsTimeout)
		reply, err := client.List(bounded, &wire.EventsRequest{After: after})
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
