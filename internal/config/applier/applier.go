// Package applier writes an operator's configuration to the platform.
//
// # Two operators at once
//
// Whoever applies names the number that the draft was made from. The applier
// refuses a draft made from another number than the latest, and writes under
// the platform's version, so that of two racing operators one gets a
// [Conflict] that names the other's change.
//
// # A lost answer
//
// When the answer to the write is lost, the applier reads back and looks for
// its own token. While the platform cannot be read the outcome is unknown,
// and the error says so; it never claims that nothing changed.
//
// # The record
//
// The change record is part of the written object. Older records move to
// objects of their own before they are cut from the list: an archived record
// may stand twice, but never nowhere.
//
// # Usage
//
//	change, err := a.Apply(ctx, &applier.Draft{...})
package applier

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

const (
	historyKept = 64
	historyMax  = 2 * historyKept
	maxDiffers  = 40
	tokenBytes  = 12
	readBacks   = 5
	readPause   = 200 * time.Millisecond
)

// ErrUnknown is returned when the write's answer was lost and the platform
// cannot be read; the change may be in force.
var ErrUnknown = errors.New("outcome unknown: the change may be in force; see 'brasschute config history'")

// Conflict is the error of a draft made from another number than the latest.
type Conflict struct {
	From   identifier.ConfigurationNumber
	Latest keeper.Change
}

// Error names the change that came between.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: the draft was made from configuration %d, but %s applied %d at %s; get that one, repeat the edit and apply again",
		c.From, c.Latest.Who, c.Latest.Number, time.UnixMilli(c.Latest.WhenUnixMilli).UTC().Format(time.RFC3339))
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config names the store and the keeper of this daemon.
type Config struct {
	Store  Store
	Keeper *keeper.Keeper
}

// Draft is what an operator wants in force.
type Draft struct {
	File   string
	Source string
	From   identifier.ConfigurationNumber
	Who    string
}

// Applier applies drafts. It is safe for concurrent use.
type Applier struct {
	c Config
}

// New returns an applier.
func New(c Config) *Applier { return &Applier{c} }

// Apply checks and writes a draft and brings it into force here. The error is
// a decoder.Problems, a *Conflict, ErrUnknown, or the platform's; all but
// ErrUnknown mean that nothing changed.
func (a *Applier) Apply(ctx context.Context, d *Draft) (*keeper.Change, error) {
	if _, err := compiler.Compile(d.File, []byte(d.Source)); err != nil {
		return nil, err
	}
	stored, version, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	if err := a.check(d, stored); err != nil {
		return nil, err
	}
	next := a.next(d, stored)
	if err := a.archive(ctx, next); err != nil {
		return nil, err
	}
	if err := a.write(ctx, d, next, version); err != nil {
		return nil, err
	}
	if _, err := a.c.Keeper.Offer(next.Source, &next.Change); err != nil {
		return nil, err
	}
	return &next.Change, nil
}

func (a *Applier) read(ctx context.Context) (*keeper.Record, uint64, error) {
	var s keeper.Record
	o, err := a.c.Store.Get(ctx, inventory.ConfigurationKey)
	if errors.Is(err, object.ErrMissing) {
		return &s, object.Absent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := json.Unmarshal(o.Value, &s); err != nil {
		// A bad object written by other hands: it can be replaced, and its
		// history is lost already.
		return &keeper.Record{}, o.Version, nil
	}
	return &s, o.Version, nil
}

// valid tells whether a stored configuration can be in force anywhere. One
// that cannot was written past the checks, and no draft can be made from it.
func valid(s *keeper.Record) bool {
	_, err := compiler.Compile("stored", []byte(s.Source))
	return err == nil
}

// check compares the draft's origin with the latest number known. The
// platform's may be lower than the one in force here, after a stale read or a
// restored backup; the higher one counts.
func (a *Applier) check(d *Draft, stored *keeper.Record) error {
	latest := &stored.Change
	if s := a.c.Keeper.Current(); s != nil && (s.Number() > latest.Number || !valid(stored)) {
		latest = &s.Change
	}
	if d.From != latest.Number {
		return &Conflict{From: d.From, Latest: *latest}
	}
	return nil
}

func (a *Applier) next(d *Draft, old *keeper.Record) *keeper.Record {
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token)
	next := &keeper.Record{Source: d.Source}
	next.Change = keeper.Change{
		Number: max(d.From, old.Change.Number) + 1, From: d.From, Who: d.Who, WhenUnixMilli: time.Now().UnixMilli(),
		Token: hex.EncodeToString(token), Differs: Differences(old.Source, d.Source),
	}
	if old.Change.Number > 0 {
		next.History = append([]keeper.Change{old.Change}, old.History...)
	}
	return next
}

// archive moves the older half of a full history to an object of its own,
// before the write that no longer contains it.
func (a *Applier) archive(ctx context.Context, next *keeper.Record) error {
	if len(next.History) < historyMax {
		return nil
	}
	old := next.History[historyKept:]
	key := fmt.Sprintf("%sarchive/%012d", inventory.AuditPrefix, old[0].Number)
	if _, err := a.c.Store.Put(ctx, key, object.Absent, old); err != nil && !errors.Is(err, object.ErrConflict) {
		return fmt.Errorf("archive of older changes: %w", err)
	}
	next.History = next.History[:historyKept]
	return nil
}

func (a *Applier) write(ctx context.Context, d *Draft, next *keeper.Record, version uint64) error {
	for range readBacks {
		_, err := a.c.Store.Put(ctx, inventory.ConfigurationKey, version, next)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, object.ErrConflict):
			return a.settle(ctx, d, next)
		case !errors.Is(err, object.ErrUnknown):
			return err
		}
		var done bool
		if done, version, err = a.readBack(ctx, d, next); done || err != nil {
			return err
		}
	}
	return ErrUnknown
}

// settle tells a real conflict from our own write that took effect after its
// answer was lost.
func (a *Applier) settle(ctx context.Context, d *Draft, next *keeper.Record) error {
	done, _, err := a.readBack(ctx, d, next)
	if err != nil || done {
		return err
	}
	stored, _, err := a.read(ctx)
	if err != nil {
		return err
	}
	return &Conflict{From: d.From, Latest: stored.Change}
}

// readBack looks for our write. done: it stands. Otherwise the returned
// version is the one to write under again.
func (a *Applier) readBack(ctx context.Context, d *Draft, next *keeper.Record) (done bool, version uint64, err error) {
	for range readBacks {
		stored, version, err := a.read(ctx)
		if err != nil {
			waiter.For(ctx, readPause)
			continue
		}
		if contains(stored, next.Change.Token) {
			return true, version, nil
		}
		if stored.Change.Number >= next.Change.Number {
			return false, version, &Conflict{From: d.From, Latest: stored.Change}
		}
		return false, version, nil
	}
	return false, 0, ErrUnknown
}

func contains(s *keeper.Record, token string) bool {
	if s.Change.Token == token {
		return true
	}
	for i := range s.History {
		if s.History[i].Token == token {
			return true
		}
	}
	return false
}

// History returns the newest changes, up to a limit, newest first.
func (a *Applier) History(ctx context.Context, limit int) ([]keeper.Change, error) {
	stored, _, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	var all []keeper.Change
	if stored.Change.Number > 0 {
		all = append([]keeper.Change{stored.Change}, stored.History...)
	}
	return all[:min(limit, len(all))], nil
}

// Differences lists the lines that only one of two texts has, in order.
func Differences(old, text string) []string {
	count := make(map[string]int)
	for line := range strings.Lines(text) {
		count[line]++
	}
	var out []string
	for line := range strings.Lines(old) {
		if count[line] > 0 {
			count[line]--
			continue
		}
		out = append(out, "-"+strings.TrimRight(line, "\n"))
	}
	for line := range strings.Lines(text) {
		if count[line] > 0 {
			count[line]--
			out = append(out, "+"+strings.TrimRight(line, "\n"))
		}
	}
	if len(out) > maxDiffers {
		more := len(out) - maxDiffers
		out = append(out[:maxDiffers], fmt.Sprintf("… %d more", more))
	}
	return out
}
