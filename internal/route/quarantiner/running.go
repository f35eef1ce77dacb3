package quarantiner

import "brasschute/internal/core/identifier"

// attempt is one send under way.
type attempt struct{ withdraw func() }

// Track notes an attempt that withdraw ends, which is called once if the request comes to be
// held meanwhile: it may wait at an endpoint that has not begun it. leave is called when the
// endpoint has brought something, or the attempt has ended.
func (z *Quarantiner) Track(f identifier.Fingerprint, withdraw func()) (leave func()) {
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

// withdraw ends the attempts of a request. The caller holds the lock.
func (z *Quarantiner) withdraw(f identifier.Fingerprint) {
	for a := range z.running[f] {
		go a.withdraw()
	}
	delete(z.running, f)
}
