package quotalimiter

import "time"

// slots divide the window: what was charged leaves it in steps of a thirty-second,
// a quarter of a second of eight.
const slots = 32

// recent is what an organisation was charged within the last window, by time.
type recent struct {
	window time.Duration
	slot   [slots]float64
	// last is the newest slot, which began at from.
	last int
	from time.Time
	sum  float64
}

// length is that of a slot.
func (r *recent) length() time.Duration { return max(r.window/slots, time.Millisecond) }

// spread takes a sum for charged evenly over the window that ends now, its oldest part
// at the very beginning.
func (r *recent) spread(sum float64, now time.Time) {
	r.from, r.sum = now.Add(-r.length()), sum
	for i := range r.slot {
		r.slot[i] = sum / slots
	}
}

// pass lets what is older than the window go.
func (r *recent) pass(now time.Time) {
	length := r.length()
	if now.Sub(r.from) >= r.window+length {
		*r = recent{window: r.window, from: now}
		return
	}
	for ; now.Sub(r.from) >= length; r.from = r.from.Add(length) {
		r.last = (r.last + 1) % slots
		r.sum -= r.slot[r.last]
		r.slot[r.last] = 0
	}
}

// take adds a charge of now; a negative one gives back.
func (r *recent) take(charge float64) {
	r.slot[r.last] += charge
	r.sum += charge
}

// correct brings the sum to another one without moving what was charged in time.
func (r *recent) correct(sum float64, now time.Time) {
	if r.sum <= 0 || sum <= 0 {
		r.spread(max(sum, 0), now)
		return
	}
	part := sum / r.sum
	for i := range r.slot {
		r.slot[i] *= part
	}
	r.sum = sum
}

// leaving is what leaves the window in the next second, taken evenly from the slots
// that cover it.
func (r *recent) leaving() float64 {
	length := r.length()
	n := min(int(time.Second/length), slots-1)
	sum := 0.0
	for i := range n {
		sum += r.slot[(r.last+1+i)%slots]
	}
	return sum
}
