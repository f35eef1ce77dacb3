//go:build review

package standin

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["upgrade"] = upgrade }

const (
	// downTime is how long a server is down, entryDelay the time until it writes its entry, below HeartbeatMs, and
	// waveInterval the time until the next three are replaced.
	downTime     = time.Second
	entryDelay   = time.Second
	waveInterval = 1900 * time.Millisecond
)

// upgrade replaces the software of nine of twelve engines in place, three at a time: they crash and start again
// under their ids.
func upgrade(ctx context.Context, w *world) (broken []string, err error) {
	var engines []*modelEngine
	for i := range 12 {
		e, err := newModelEngine(w, fmt.Sprintf("i-%02d", i+1), zoneNames[i%4], "v1", 128)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := w.start(ctx, zoneNames...); err != nil {
		return nil, err
	}
	var (
		mu      sync.Mutex
		all     []*stream
		pending sync.WaitGroup
	)
	client := func(i int) {
		defer pending.Done()
		s := &stream{}
		for n := 0; n < 2 && !s.done; n++ {
			s.try(w.daemons[(i+n)%len(w.daemons)], "1460,120", fmt.Sprintf("5c1e07a2:350,%08x:1110", i))
		}
		mu.Lock()
		all = append(all, s)
		mu.Unlock()
	}
	stop := time.After(18 * time.Second)
	go func() {
		if !w.trouble {
			return
		}
		time.Sleep(7 * time.Second)
		for wave := range 3 {
			group := engines[wave*3 : wave*3+3]
			for _, e := range group {
				e.crash("crashes")
			}
			time.AfterFunc(downTime, func() {
				for _, e := range group {
					if err := e.start("v2"); err != nil {
						w.record.printf("server %s: %v", e.id, err)
					}
				}
			})
			time.AfterFunc(downTime+entryDelay, func() {
				for _, e := range group {
					e.list()
				}
			})
			time.Sleep(waveInterval)
		}
	}()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			pending.Wait()
			done, mixed := 0, 0
			for _, s := range all {
				if s.done {
					done++
				}
				if v := s.versions(); len(v) > 1 {
					mixed++
					w.record.printf("stream %s holds events of software %v, over %d tries", s.first, v, s.tries)
				}
			}
			w.record.printf("%d streams, %d complete, %d with events of two software versions", len(all), done, mixed)
			if mixed > 2 {
				broken = append(broken, fmt.Sprintf("ORDER: %d streams of %d hold events from engines of two software versions", mixed, len(all)))
			}
			return broken, nil
		case <-tick.C:
			pending.Add(1)
			go client(i)
		}
	}
}
