// Package applier writes an operator's configuration to the platform.
//
// A draft states the configuration number that it was made from. The applier
// refuses a draft made from any number but the latest, and makes the write
// conditional on the object's version on the platform. Of two operators that
// apply at once, one therefore gets a [Conflict] that names the other's change.
//
// If the response to a write is lost, the applier reads the object back and looks
// for the random token of its own change. While the platform cannot be read, the
// outcome is unknown and the error is [ErrUnknown]; the applier never reports
// that nothing changed when it can't know.
//
// The change record is part of the written object. Older records are archived
// in objects of their own before they are removed from the list, so that an
// archived record may exist twice but is never lost.
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
	// The history in the configuration's object grows to historyMaxChanges, then
	// all but historyKeptChanges are archived.
	historyKeptChanges = 64
	historyMaxChanges  = 2 * historyKeptChanges
	maxDiffLines       = 40
	tokenBytes         = 12
	maxReadBacks       = 5
	readBackPause      = 200 * time.Millisecond
)

// ErrUnknown is returned if the response to the write was lost and the platform
// cannot be read. The change may be in force.
var ErrUnknown = errors.New("outcome unknown: the change may be in force; see 'brasschute config history'")

// Conflict is the error of a draft that was not made from the latest configuration.
type Conflict struct {
	// From is the number that the draft was made from.
	From identifier.ConfigurationNumber
	// Latest is the newest change known.
	Latest keeper.Change
}

// Error names the intervening change and what to do.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: the draft was made from configuration %d, but %s applied %d at %s; get that one, repeat the edit and apply again",
		c.From, c.Latest.Who, c.Latest.Number, time.UnixMilli(c.Latest.WhenUnixMilli).UTC().Format(time.RFC3339))
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error)
}

// Config holds the applier's dependencies.
type Config struct {
	Store Store
	// Keeper holds the configuration in force at this daemon.
	Keeper *keeper.Keeper
}

// Draft is a configuration that an operator applies.
type Draft struct {
	// File is the name shown in problems, Source the YAML text.
	File   string
	Source string
	// From is the number of the configuration that the draft was made from.
	From identifier.ConfigurationNumber
	// Who is the operator's name.
	Who string
}

// Applier applies drafts. It is safe for concurrent use.
type Applier struct {
	c Config
}

// New returns an applier.
func New(c Config) *Applier { return &Applier{c} }

// Apply checks and writes a draft and brings it into force at this daemon. The
// error is a decoder.Problems, a *Conflict, ErrUnknown, or one of the platform's;
// all but ErrUnknown mean that nothing changed.
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
	next := a.newRecord(d, stored)
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
		// Another writer wrote an object that is not a configuration. It can be
		// replaced, as its history is already lost.
		return &keeper.Record{}, o.Version, nil
	}
	return &s, o.Version, nil
}

// compiles reports whether a stored configuration can be in force at any daemon.
// One that does not compile was written without the applier's checks, and no
// draft can be made from it.
func compiles(s *keeper.Record) bool {
	_, err := compiler.Compile("stored", []byte(s.Source))
	return err == nil
}

// check compares the number that the draft was made from with the latest number
// known. After a stale read or a restored backup the platform's number may be
// lower than the one in force here; the higher one counts.
func (a *Applier) check(d *Draft, stored *keeper.Record) error {
	latest := &stored.Change
	if s := a.c.Keeper.Current(); s != nil && (s.Number() > latest.Number || !compiles(stored)) {
		latest = &s.Change
	}
	if d.From != latest.Number {
		return &Conflict{From: d.From, Latest: *latest}
	}
	return nil
}

// newRecord returns the record to write, with the old record's change moved to its
// history.
func (a *Applier) newRecord(d *Draft, old *keeper.Record) *keeper.Record {
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token)
	next := &keeper.Record{Source: d.Source}
	next.Change = keeper.Change{
		Number: max(d.From, old.Change.Number) + 1, From: d.From, Who: d.Who, WhenUnixMilli: time.Now().UnixMilli(),
		Token: hex.EncodeToString(token), Differs: DiffLines(old.Source, d.Source),
	}
	if old.Change.Number > 0 {
		next.History = append([]keeper.Change{old.Change}, old.History...)
	}
	return next
}

// archive writes the older half of a full history to an object of its own and
// removes it from next. It runs before next is written, so that no change is lost.
func (a *Applier) archive(ctx context.Context, next *keeper.Record) error {
	if len(next.History) < historyMaxChanges {
		return nil
	}
	old := next.History[historyKeptChanges:]
	key := fmt.Sprintf("%sarchive/%012d", inventory.AuditPrefix, old[0].Number)
	if _, err := a.c.Store.Put(ctx, key, object.Absent, old); err != nil && !errors.Is(err, object.ErrConflict) {
		return fmt.Errorf("archive of older changes: %w", err)
	}
	next.History = next.History[:historyKeptChanges]
	return nil
}

// write writes the record and, while the outcome is unknown, reads it back and
// retries.
func (a *Applier) write(ctx context.Context, d *Draft, next *keeper.Record, version uint64) error {
	for range maxReadBacks {
		_, err := a.c.Store.Put(ctx, inventory.ConfigurationKey, version, next)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, object.ErrConflict):
			return a.resolveConflict(ctx, d, next)
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

// resolveConflict returns nil if the conflict was caused by our own write, which took
// effect although its response was lost, and a *Conflict otherwise.
func (a *Applier) resolveConflict(ctx context.Context, d *Draft, next *keeper.Record) error {
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

// readBack looks for our write in the store. done is set if it took effect;
// otherwise version is the object's version, on which to make the next write
// conditional.
func (a *Applier) readBack(ctx context.Context, d *Draft, next *keeper.Record) (done bool, version uint64, err error) {
	for range maxReadBacks {
		stored, version, err := a.read(ctx)
		if err != nil {
			waiter.For(ctx, readBackPause)
			continue
		}
		if containsToken(stored, next.Change.Token) {
			return true, version, nil
		}
		if stored.Change.Number >= next.Change.Number {
			return false, version, &Conflict{From: d.From, Latest: stored.Change}
		}
		return false, version, nil
	}
	return false, 0, ErrUnknown
}

// containsToken reports whether the record holds the change of a token.
func containsToken(s *keeper.Record, token string) bool {
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

// History returns up to limit changes from the configuration's object, newest
// first. Archived changes are not included.
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

// DiffLines returns the lines that only one of two texts contains: first the
// removed lines, prefixed with "-", then the added ones, prefixed with "+". It
// truncates a long list and appends the number of lines left out.
func DiffLines(old, text string) []string {
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
	if len(out) > maxDiffLines {
		more := len(out) - maxDiffLines
		out = append(out[:maxDiffLines], fmt.Sprintf("… %d more", more))
	}
	return out
}
