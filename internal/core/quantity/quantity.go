// Package quantity parses durations in settings files.
//
// A [Duration] has the text form of [time.ParseDuration], which requires a unit: "250ms" is
// valid, "250" is an error. A bare number of unknown unit is the most common mistake in
// settings files, and the type exists to reject it.
//
// # Usage
//
//	var d quantity.Duration
//	err := d.UnmarshalText([]byte("250ms"))
package quantity

import (
	"encoding"
	"fmt"
	"time"
)

// Duration is a non-negative duration whose text form includes the unit.
type Duration time.Duration

var (
	_ encoding.TextUnmarshaler = (*Duration)(nil)
	_ encoding.TextMarshaler   = Duration(0)
)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d with its unit, as in "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements [encoding.TextMarshaler]. The result includes the unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. Negative durations and numbers without
// a unit are errors.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("a duration with its unit, as 250ms, 3s or 5m")
	}
	if v < 0 {
		return fmt.Errorf("a duration that is not negative")
	}
	*d = Duration(v)
	return nil
}
