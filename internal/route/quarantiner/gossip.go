package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUpdates limits the suspects in one message, to about 10 KB: those that are held, then those
	// that changed within updateTime.
	maxUpdates = 32
	updateTime = time.Minute
)

// Updates returns the suspects to gossip to other daemons: those that are held first, then those with most
// points, as each crash leaves many that were only near it. Normally there are none.
func (z *Quarantiner) Updates() []Suspect {
	now := time.Now()
	out := slices.DeleteFunc(z.List(), func(s Suspect) bool {
		return !s.Held && (now.Sub(s.changed) >= updateTime || s.negligible())
	})
	slices.SortStableFunc(out, func(a, b Suspect) int { return cmp.Or(heldFirst(&a, &b), cmp.Compare(b.weight, a.weight)) })
	return out[:min(len(out), maxUpdates)]
}

// negligible reports whether a single weak ending is all that is known: this holds for most of the
// requests that an endpoint was running when it ended. Only the daemon that saw the ending keeps
// it.
func (s *Suspect) negligible() bool {
	return len(s.Endings) == 1 && s.Endings[0].Weak && !s.Endings[0].Void
}

// Merge merges the updates of another daemon and reports whether any of them changed the suspects
// of this one.
func (z *Quarantiner) Merge(updates []Suspect) bool {
	return z.change(func(now time.Time) (anyNew bool) {
		for i := range updates {
			anyNew = z.mergeSuspect(&updates[i], now) || anyNew
		}
		return anyNew
	})
}

// mergeSuspect merges one suspect; see change.
func (z *Quarantiner) mergeSuspect(update *Suspect, now time.Time) (isNew bool) {
	endings := make([]Ending, 0, len(update.Endings))
	for _, e := range update.Endings {
		// Endings that have lapsed here are not added again.
		if age := now.Sub(e.At); e.Endpoint != "" && age < heldTime {
			endings = append(endings, e)
		}
	}
	if len(endings) == 0 || update.Fingerprint == "" {
		return false
	}
	return z.add(update.Fingerprint, endings[:min(len(endings), maxPartEndings)], now)
}
