package quarantiner

import "brasschute/internal/core/identifier"

// attempt is one attempt in progress.
type attempt struct{ withdraw func() }

// Track registers an attempt that has delivered nothing yet. withdraw is called once if the request
// becomes held meanwhile: the request may be queued at an endpoint that has not begun it. The
// caller calls untrack when the endpoint has delivered something or the attempt has ended.
func (z *Quarantiner) Track(f identifier.Fingerprint, withdraw func()) (untrack func()) {
	z.mu.Lock()
	defer z.mu.Unlock()
	a := &attempt{withdraw}
	if z.running[f] == nil {
		z.running[f] = make(map[*attempt]bool)
	}
	z.running[f][a] = true
	return func() {
		z.mu.Lock()
		defer z.mu.Unlock()
		delete(z.running[f], a)
		if len(z.running[f]) == 0 {
			delete(z.running, f)
		}
	}
}

// withdraw withdraws the attempts of a request. The caller holds the lock.
func (z *Quarantiner) withdraw(f identifier.Fingerprint) {
	for a := range z.running[f] {
		go a.withdraw()
	}
	delete(z.running, f)
}
