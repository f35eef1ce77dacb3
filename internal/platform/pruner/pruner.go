// Package pruner cuts values that are nested too deeply out of JSON.
//
// A decoder refuses a whole document if any part of it is nested more deeply than it bears. Where a document holds the entries
// of several writers, one of them could so hide all others. A [Pruner] replaces the parts that are nested too deeply and
// leaves everything else as it is, so that a document which is incomplete or malformed elsewhere stays so.
//
// # Usage
//
//	p := pruner.New(pruner.Config{})
//	if err := p.Unmarshal(raw, &list); err != nil { ... }
//	value := p.Value(list.Items[0])
package pruner

import (
	"bytes"
	"encoding/json"
)

// The defaults of a Config: far beyond what the objects of platforms need, and a text, which no object is.
const (
	defaultMaxDepth = 100
	defaultMark     = `"(nested too deeply)"`
)

// Config sets what is cut.
type Config struct {
	// MaxDepth is the number of arrays and objects that may contain each other; 100 if zero.
	MaxDepth int
	// Mark is the JSON that replaces an array or object beyond that; a text that says so if empty.
	Mark string
}

// Pruner prunes JSON. It is safe for concurrent use.
type Pruner struct {
	c Config
}

// New returns a pruner.
func New(c Config) *Pruner {
	if c.MaxDepth == 0 {
		c.MaxDepth = defaultMaxDepth
	}
	if c.Mark == "" {
		c.Mark = defaultMark
	}
	return &Pruner{c}
}

// Unmarshal decodes a document, without what is nested too deeply if it can't be decoded otherwise. The error is that of
// encoding/json.
func (p *Pruner) Unmarshal(document []byte, out any) error {
	err := json.Unmarshal(document, out)
	if err == nil {
		return nil
	}
	if pruned, cut := p.Prune(document); cut {
		return json.Unmarshal(pruned, out)
	}
	return err
}

// Value returns a value of a decoded document, or the mark alone if a part of the value was cut: what is left of it is not
// what its writer meant.
func (p *Pruner) Value(value json.RawMessage) json.RawMessage {
	if bytes.Contains(value, []byte(p.c.Mark)) {
		return json.RawMessage(p.c.Mark)
	}
	return value
}

// Prune returns a document without the parts that are nested too deeply, and whether there were any. Without any it returns
// the document itself.
func (p *Pruner) Prune(document []byte) (pruned []byte, cut bool) {
	var out bytes.Buffer
	// kept is where the part begins that is not copied yet, cutFrom where the one begins that is cut; -1 outside of any.
	kept, cutFrom := 0, -1
	depth := 0
	for i := 0; i < len(document); i++ {
		switch document[i] {
		case '"':
			i = endOfString(document, i)
		case '[', '{':
			if depth++; depth == p.c.MaxDepth+1 {
				cutFrom = i
			}
		case ']', '}':
			if depth--; depth == p.c.MaxDepth && cutFrom >= 0 {
				out.Write(document[kept:cutFrom])
				out.WriteString(p.c.Mark)
				kept, cutFrom = i+1, -1
			}
		}
	}
	if kept == 0 {
		return document, false
	}
	out.Write(document[kept:])
	return out.Bytes(), true
}

// endOfString returns where the string ends that begins at a quote; the length of the document if it does not end.
func endOfString(document []byte, begin int) int {
	for i := begin + 1; i < len(document); i++ {
		switch document[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(document)
}
