package freshness

import (
	"context"
	"time"

	"lapisspread/internal/engine"
)

// observedSource is a source of endpoint lists whose answers and failures are recorded in a List.
type observedSource struct {
	engine.Source
	list *List
}

// Wrap returns a source that passes calls to inner and reports its answers to the monitor. Sources with the same name
// provide the same list, even if the address changes. known is the list that the process already has, and age its age;
// a negative age means unknown. watchInterval is the expected time between two answers of a watch. If there are too
// many lists, Wrap logs a TooManyListsError and returns inner.
func (m *Monitor) Wrap(
	name string, watchInterval time.Duration, inner engine.Source, known engine.EndpointList, age time.Duration,
) engine.Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.lists[name]
	if list == nil {
		if len(m.lists) >= maxLists {
			err := TooManyListsError{Name: name, Max: maxLists}
			m.config.Logger.Warn("endpoint list is not monitored", "err", err, "advice", err.Advice())
			return inner
		}
		list = newList(m, name, watchInterval, known, age)
		m.lists[name] = list
		m.order = append(m.order, list)
		m.wake()
	}
	return &observedSource{Source: inner, list: list}
}

// activate makes this the only source of the list whose answers are recorded.
func (s *observedSource) activate() {
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	s.list.activeSource = s
}

// Fetch implements engine.Source.
func (s *observedSource) Fetch(ctx context.Context) (engine.EndpointList, error) {
	s.activate()
	requestedAt := s.list.monitor.clock()
	list, err := s.Source.Fetch(ctx)
	switch {
	case err == nil:
		update := updateFromList(list)
		update.Complete = true
		update.RequestedAt = requestedAt
		s.list.update(s, update, true)
	case ctx.Err() == nil:
		s.list.sourceFailed(s, false)
	}
	return list, err
}

// Watch implements engine.Source.
func (s *observedSource) Watch(ctx context.Context, from uint32, handle func(engine.EndpointList)) error {
	s.activate()
	err := s.Source.Watch(ctx, from, func(list engine.EndpointList) {
		s.list.update(s, updateFromList(list), false)
		handle(list)
	})
	if ctx.Err() == nil {
		s.list.sourceFailed(s, true)
	}
	return err
}
