package quotalimiter

import "time"

// slotCount is the number of slots in a window: charges leave it in steps of a thirty-second of its
// length, a quarter of a second for a window of eight.
const slotCount = 32

// slidingWindow holds an organisation's charges within the last window, by time slot.
type slidingWindow struct {
	window time.Duration
	slots  [slotCount]float64
	// newest is the index of the newest slot, which began at newestStart.
	newest      int
	newestStart time.Time
	sum         float64
}

// slotDuration returns the length of a slot.
func (w *slidingWindow) slotDuration() time.Duration {
	return max(w.window/slotCount, time.Millisecond)
}

// spread replaces the charges by a sum spread evenly over the window that ends now, with the oldest
// slot at the very start of the window.
func (w *slidingWindow) spread(sum float64, now time.Time) {
	w.fill([]float64{sum}, now)
}

// parts returns the charges in so many equal parts of the window, the oldest first. n divides slotCount.
func (w *slidingWindow) parts(n int) []float64 {
	out := make([]float64, n)
	for i := range slotCount {
		out[i*n/slotCount] += w.slots[(w.newest+1+i)%slotCount]
	}
	return out
}

// fill replaces the charges by those of equal parts of the window that ended at a time, the oldest first. There is at least one
// part.
func (w *slidingWindow) fill(parts []float64, end time.Time) {
	*w = slidingWindow{window: w.window, newest: slotCount - 1, newestStart: end.Add(-w.slotDuration())}
	for i := range slotCount {
		w.slots[i] = max(parts[i*len(parts)/slotCount], 0) * float64(len(parts)) / slotCount
		w.sum += w.slots[i]
	}
}

// advance drops charges that are older than the window.
func (w *slidingWindow) advance(now time.Time) {
	duration := w.slotDuration()
	if now.Sub(w.newestStart) >= w.window+duration {
		*w = slidingWindow{window: w.window, newestStart: now}
		return
	}
	for ; now.Sub(w.newestStart) >= duration; w.newestStart = w.newestStart.Add(duration) {
		w.newest = (w.newest + 1) % slotCount
		w.sum -= w.slots[w.newest]
		w.slots[w.newest] = 0
	}
}

// add adds a charge at the present time; a negative charge is a refund.
func (w *slidingWindow) add(charge float64) {
	w.slots[w.newest] += charge
	w.sum += charge
}

// rescale changes the sum and keeps the distribution of the charges over time.
func (w *slidingWindow) rescale(sum float64, now time.Time) {
	if w.sum <= 0 || sum <= 0 {
		w.spread(max(sum, 0), now)
		return
	}
	factor := sum / w.sum
	for i := range w.slots {
		w.slots[i] *= factor
	}
	w.sum = sum
}

// expiring returns what leaves the window within the next second, from the slots that cover it.
func (w *slidingWindow) expiring() float64 {
	duration := w.slotDuration()
	n := min(int(time.Second/duration), slotCount-1)
	sum := 0.0
	for i := range n {
		sum += w.slots[(w.newest+1+i)%slotCount]
	}
	return sum
}
