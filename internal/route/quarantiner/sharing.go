package quarantiner

import (
	"time"
)

const (
	// maxTold bounds what is told at a time, to some 5 KB: the requests that are held, then
	// those that changed within toldTime.
	maxTold  = 32
	toldTime = time.Minute
)

// Updates returns what other daemons should know, held requests first. In a calm fleet it is
// nothing.
func (z *Quarantiner) Updates() []Suspect {
	now := time.Now()
	var out []Suspect
	for _, s := range z.List() {
		if len(out) == maxTold {
			break
		}
		if s.Held || now.Sub(s.changed) < toldTime && !s.faint() {
			out = append(out, s)
		}
	}
	return out
}

// faint tells whether a single weak ending is all that is known: most of the requests that
// an endpoint was running when it ended. The daemon that saw it keeps it.
func (s *Suspect) faint() bool {
	return len(s.Endings) == 1 && s.Endings[0].Weak && !s.Endings[0].Void
}

// Merge takes in what another daemon knows, and reports whether any of it was news.
func (z *Quarantiner) Merge(told []Suspect) bool {
	now := time.Now()
	news := false
	for _, s := range told {
		z.mu.Lock()
		fresh, changed := z.hear(&s, now)
		z.mu.Unlock()
		news = news || fresh
		z.tell(changed)
	}
	return news
}

// hear takes in one suspect. The caller holds the lock.
func (z *Quarantiner) hear(told *Suspect, now time.Time) (news bool, changed *Suspect) {
	endings := make([]Ending, 0, len(told.Endings))
	for _, e := range told.Endings {
		// What has lapsed here is not taken over again.
		if age := now.Sub(e.At); e.Endpoint != "" && age < heldTime {
			endings = append(endings, e)
		}
	}
	if len(endings) == 0 || told.Fingerprint == "" {
		return false, nil
	}
	return z.add(told.Fingerprint, endings[:min(len(endings), maxEndings)], now)
}
