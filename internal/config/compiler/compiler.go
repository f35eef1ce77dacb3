// Package compiler compiles the operators' YAML configuration into a checked plan.
//
// It checks everything that can be known before a request arrives: unknown fields
// and units (in package decoder), duplicate names, references to names that do not
// exist, bounds, conditions that do not parse or have a wrong type, and rules that
// can never match. All problems are returned at once.
//
// # Usage
//
//	plan, err := compiler.Compile("rules.yaml", source)
//	action, i, err := plan.Match(&facts)
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

// NoRule is the index that Match returns if no rule matches.
const NoRule = -1

// Facts holds the properties of a request that a rule's condition can use. The
// field names are the names used in conditions.
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
	// Clock is the local time as 15:04, Date is 2006-01-02, Weekday the English
	// name. They are strings, so that time windows are written as comparisons.
	Clock   string
	Date    string
	Weekday string
	// Headers holds the first value of each header, by lower-case name.
	Headers map[string]string
	// AvailabilityZone is the zone of the daemon that evaluates the rule.
	AvailabilityZone string
	// Load is the fraction of the pool's capacity in use; it may exceed 1.
	Load float64
}

// Plan is a checked configuration with compiled conditions and indexes by name.
type Plan struct {
	Configuration document.Configuration

	// conditions holds the compiled condition of each rule, keys the
	// organisations by key hash.
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

// Compile compiles a YAML configuration; file is the name shown in problems. The
// error is a decoder.Problems.
func Compile(file string, source []byte) (*Plan, error) {
	p := &Plan{
		keys:     make(map[string]*document.Organisation),
		services: make(map[identifier.Service]*document.Service),
		pools:    make(map[identifier.Pool]*document.Pool),
		prices:   make(map[priceKey]float64),
	}
	c := checker{decoder: decoder.Decoder{File: file}, plan: p}
	c.decoder.Decode(source, &p.Configuration)
	if err := c.decoder.Err(); err != nil && len(p.Configuration.Services) == 0 {
		return nil, err
	}
	c.checkOrganisations()
	c.checkPools()
	c.checkServices()
	c.checkRules()
	c.checkPrices()
	if err := c.decoder.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// Match returns the action and the index of the first rule whose condition is
// true, or NoRule. A rule whose condition fails is skipped, and the error of the
// last such rule is returned with the result.
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

// Organisation returns the owner of the key whose SHA-256, in lower-case
// hexadecimal, is keyHash.
func (p *Plan) Organisation(keyHash string) (*document.Organisation, bool) {
	o, ok := p.keys[keyHash]
	return o, ok
}

// Service returns the service of a name.
func (p *Plan) Service(name identifier.Service) (*document.Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Pool returns the pool of a name.
func (p *Plan) Pool(name identifier.Pool) (*document.Pool, bool) {
	s, ok := p.pools[name]
	return s, ok
}

// Price returns the hourly price of a host, or 0 if none is configured.
func (p *Plan) Price(zone identifier.AvailabilityZone, class document.Class) float64 {
	return p.prices[priceKey{zone, class}]
}

// PriorityRank returns the position of a priority in the list; 0 is the most
// urgent. An unknown or empty name has the rank of the last one.
func (p *Plan) PriorityRank(name string) int {
	for i, known := range p.Configuration.Priorities {
		if known == name {
			return i
		}
	}
	return max(len(p.Configuration.Priorities)-1, 0)
}

// RuleName returns the name of the rule at an index that Match returned; it is ""
// for NoRule.
func (p *Plan) RuleName(i int) string {
	if i == NoRule {
		return ""
	}
	return p.Configuration.Rules[i].Name
}
