package quarantiner

import "brasschute/internal/core/identifier"

// attempt is one attempt in progress.
type attempt struct{ withdraw func() }

// Track registers an attempt of a request, whose prompt has some shared parts, that has delivered
// nothing yet. withdraw is called if the request or a part becomes held meanwhile: the request may be
// queued at an endpoint that has not begun it. The caller calls untrack when the endpoint has
// delivered something or the attempt has ended.
func (z *Quarantiner) Track(f identifier.Fingerprint, withdraw func(), parts ...identifier.Fingerprint) (untrack func()) {
	keys := append([]identifier.Fingerprint{f}, parts...)
	a := &attempt{withdraw}
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, key := range keys {
		if z.running[key] == nil {
			z.running[key] = make(map[*attempt]bool)
		}
		z.running[key][a] = true
	}
	return func() {
		z.mu.Lock()
		defer z.mu.Unlock()
		for _, key := range keys {
			delete(z.running[key], a)
			if len(z.running[key]) == 0 {
				delete(z.running, key)
			}
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
