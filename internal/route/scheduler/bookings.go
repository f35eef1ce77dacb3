package scheduler

import (
	"fmt"
	"math"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/shedder"
)

const (
	// bucketDuration is the resolution of bookings.
	bucketDuration = 250 * time.Millisecond
	// maxBookings bounds the bookings, maxHorizon how far ahead they are.
	maxBookings = 256
	maxHorizon  = 30 * time.Second
	// A return counts as in time from earlyTolerance before its place, as Retry-After is rounded, until
	// lateTolerance after it.
	earlyTolerance = 10 * time.Millisecond
	lateTolerance  = 500 * time.Millisecond
	// minRetryAfter keeps refused clients from returning before anything has changed. Clients wait for
	// no longer than shedder.MaxRetryAfter, and for maxHorizon at most, also if no place is left.
	minRetryAfter = 200 * time.Millisecond
	// The most urgent requests may book urgentFill of what fits into a bucket, each less urgent rank
	// rankFill less, down to minFill. So urgent requests find room before the others. Some clients don't
	// return, so that a bucket may be overbooked: with more, those that return find the engine taken
	// and are refused again; with less, it idles while clients wait for later places.
	urgentFill = 1.2
	rankFill   = 0.2
	minFill    = 0.6
)

// bookings holds the places of refused requests in the capacity to come.
type bookings struct {
	byFingerprint map[bookingKey]*booking
	// buckets holds the tokens that are booked by bucket, numbered since the Unix epoch.
	buckets map[int64]float64
}

// bookingKey identifies a client's request. A request without a fingerprint is identified by its
// own key: it is not recognised when it returns, but takes its place nevertheless.
type bookingKey struct {
	organisation identifier.Organisation
	fingerprint  identifier.Fingerprint
	request      Key
}

// booking is a place.
type booking struct {
	at time.Time
	// parts are the tokens that it takes of successive buckets, from the one numbered first on; none
	// if no place was left.
	first int64
	parts []float64
}

func newBookings() bookings {
	return bookings{byFingerprint: make(map[bookingKey]*booking), buckets: make(map[int64]float64)}
}

// keyOf returns the key of a request's booking.
func keyOf(r *Request) bookingKey {
	if r.Fingerprint == "" {
		return bookingKey{request: r.Key()}
	}
	return bookingKey{organisation: r.Organisation, fingerprint: r.Fingerprint}
}

// due reports whether a request comes at its place.
func (b *bookings) due(r *Request, now time.Time) bool {
	known := b.byFingerprint[keyOf(r)]
	return known != nil && known.isDue(now)
}

func (k *booking) isDue(now time.Time) bool { return !now.Before(k.at.Add(-earlyTolerance)) }

// find returns the place of a refused entry and a note on it. An entry that has a place keeps it. The
// backlog is what the endpoint prefills first, in tokens.
func (b *bookings) find(e *entry, backlog, tokensPerSecond float64, now time.Time) (*booking, string) {
	r := &e.request
	known := b.byFingerprint[keyOf(r)]
	if known != nil && !known.isDue(now) {
		return known, "keeps its place"
	}
	latest := now.Add(min(shedder.MaxRetryAfter(r.TimeLeft), maxHorizon))
	without := &booking{at: latest}
	if known == nil && len(b.byFingerprint) >= maxBookings {
		return without, "no place left, a third of the remaining time: too many bookings"
	}
	fill := max(urgentFill-rankFill*float64(max(r.Rank, 0)), minFill)
	earliest := now.Add(minRetryAfter + time.Duration(min(max(r.Rank, 0), 4))*bucketDuration)
	for n := numberOf(earliest); ; n++ {
		start := latestOf(startOf(n), earliest)
		if start.After(latest) {
			break
		}
		p := b.partsFrom(n, e.uncached, func(n int64) float64 {
			return b.free(n, fill, backlog, tokensPerSecond, now)
		})
		if p == nil {
			continue
		}
		// Those of one bucket return one after the other.
		taken := time.Duration(b.buckets[n] / (urgentFill * tokensPerSecond) * float64(time.Second))
		at := earliestOf(latestOf(start, startOf(n).Add(taken)), latest)
		return &booking{at: at, first: n, parts: p}, fmt.Sprintf("booked a place in %d ms", at.Sub(now).Milliseconds())
	}
	return without, "no place left, a third of the remaining time"
}

// partsFrom returns what tokens take of successive buckets, nil if they don't fit: only a request
// larger than a bucket takes more than one.
func (b *bookings) partsFrom(n int64, tokens float64, free func(n int64) float64) (parts []float64) {
	for ; tokens > 0; n++ {
		left := free(n)
		if left >= tokens {
			return append(parts, tokens)
		}
		if left <= 0 || b.buckets[n] > 0 || len(parts) > int(maxHorizon/bucketDuration) {
			return nil
		}
		parts = append(parts, left)
		tokens -= left
	}
	return parts
}

// free returns the tokens that are left in a bucket.
func (b *bookings) free(n int64, fill, backlog, tokensPerSecond float64, now time.Time) float64 {
	whole := tokensPerSecond * bucketDuration.Seconds()
	start, end := startOf(n).Sub(now).Seconds(), startOf(n+1).Sub(now).Seconds()
	// The backlog takes the time from now on.
	taken := max(min(backlog/tokensPerSecond, end)-max(start, 0), 0) * tokensPerSecond
	return fill*whole - b.buckets[n] - taken
}

// add enters a booking of a refused request. One without parts found no place.
func (b *bookings) add(r *Request, k *booking) {
	if k == nil || len(k.parts) == 0 || b.byFingerprint[keyOf(r)] == k {
		return
	}
	b.remove(r)
	b.byFingerprint[keyOf(r)] = k
	for i, tokens := range k.parts {
		b.buckets[k.first+int64(i)] += tokens
	}
}

// remove removes the booking of a request, if it has one.
func (b *bookings) remove(r *Request) { b.removeKey(keyOf(r)) }

func (b *bookings) removeKey(key bookingKey) {
	k := b.byFingerprint[key]
	if k == nil {
		return
	}
	delete(b.byFingerprint, key)
	for i, tokens := range k.parts {
		n := k.first + int64(i)
		if b.buckets[n] -= tokens; math.Abs(b.buckets[n]) < 1e-6 {
			delete(b.buckets, n)
		}
	}
}

// expire drops the bookings whose place has passed.
func (b *bookings) expire(now time.Time) {
	for key, k := range b.byFingerprint {
		if now.After(k.at.Add(lateTolerance)) {
			b.removeKey(key)
		}
	}
}

func numberOf(t time.Time) int64 { return t.UnixNano() / int64(bucketDuration) }

func startOf(n int64) time.Time { return time.Unix(0, n*int64(bucketDuration)) }

func earliestOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
