// Package compiler turns the operators' YAML into a checked, ready plan.
//
// # What is checked
//
// Everything that can be known before a request arrives: unknown fields and
// units (by package decoder), duplicate names, references to things that do
// not exist, bounds, conditions that do not parse or have a wrong type, and
// rules that can never match. All problems are returned at once.
//
// # Usage
//
//	plan, err := compiler.Compile("rules.yaml", source)
//	action, i := plan.Match(&facts)
//
// A [Plan] is immutable and safe for concurrent use.
package compiler

import (
	"fmt"

	"brasschute/internal/config/decoder"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// NoRule is the index that Match returns when no rule holds.
const NoRule = -1

// Facts are what a rule's condition can ask about a request.
type Facts struct {
	Organisation string
	Service      string
	Kind         string
	Priority     string
	Idempotent   bool
	// Bytes is the size of the body.
	Bytes int
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Clock is the local time as 15:04, Date as 2006-01-02, Weekday in
	// English: text, so that windows are written as comparisons.
	Clock   string
	Date    string
	Weekday string
	// Headers holds the first value of each header, by lower-case name.
	Headers map[string]string
	// AvailabilityZone is that of the deciding daemon.
	AvailabilityZone string
	// Load is the share of the pool's capacity in use, from 0 upwards.
	Load float64
}

// Plan is a checked configuration with its conditions compiled.
type Plan struct {
	Configuration document.Configuration

	conditions []*vm.Program
	keys       map[string]*document.Organisation
	services   map[identifier.Service]*document.Service
	pools      map[identifier.Pool]*document.Pool
	prices     map[priceKey]float64
}

type priceKey struct {
	zone  identifier.AvailabilityZone
	class document.Class
}

// Compile checks source and returns its plan, or a decoder.Problems.
func Compile(file string, source []byte) (*Plan, error) {
	p := &Plan{
		keys:     make(map[string]*document.Organisation),
		services: make(map[identifier.Service]*document.Service),
		pools:    make(map[identifier.Pool]*document.Pool),
		prices:   make(map[priceKey]float64),
	}
	c := checker{d: decoder.Decoder{File: file}, p: p}
	c.d.Decode(source, &p.Configuration)
	if err := c.d.Err(); err != nil && len(p.Configuration.Services) == 0 {
		return nil, err
	}
	c.organisations()
	c.pools()
	c.services()
	c.rules()
	c.prices()
	if err := c.d.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// Match returns the action of the first rule that holds and its index, or
// NoRule. An error in one condition skips that rule and is returned along.
func (p *Plan) Match(f *Facts) (document.Action, int, error) {
	var failed error
	for i, condition := range p.conditions {
		out, err := expr.Run(condition, f)
		if err != nil {
			failed = fmt.Errorf("rule %s: %w", p.Configuration.Rules[i].Name, err)
			continue
		}
		if out == true {
			return p.Configuration.Rules[i].Then, i, failed
		}
	}
	return document.Action{}, NoRule, failed
}

// Organisation finds the owner of a key by the key's SHA-256 in hexadecimal.
func (p *Plan) Organisation(keyHash string) (*document.Organisation, bool) {
	o, ok := p.keys[keyHash]
	return o, ok
}

// Service finds a service by name.
func (p *Plan) Service(name identifier.Service) (*document.Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Pool finds a pool by name.
func (p *Plan) Pool(name identifier.Pool) (*document.Pool, bool) {
	s, ok := p.pools[name]
	return s, ok
}

// Price returns the hourly price of a host, 0 if none is given.
func (p *Plan) Price(zone identifier.AvailabilityZone, class document.Class) float64 {
	return p.prices[priceKey{zone, class}]
}

// PriorityRank returns the position of a priority, 0 being the most urgent.
// Unknown or empty names rank last.
func (p *Plan) PriorityRank(name string) int {
	for i, known := range p.Configuration.Priorities {
		if known == name {
			return i
		}
	}
	return max(len(p.Configuration.Priorities)-1, 0)
}

// RuleName names a rule by the index that Match gave.
func (p *Plan) RuleName(i int) string {
	if i == NoRule {
		return ""
	}
	return p.Configuration.Rules[i].Name
}
