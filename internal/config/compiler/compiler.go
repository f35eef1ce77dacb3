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
	"encoding/hex"
	"fmt"
	"strings"

	"brasschute/internal/config/decoder"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
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

// checker adds the checks of meaning to the decoder's problems.
type checker struct {
	d decoder.Decoder
	p *Plan
}

func (c *checker) unique(seen map[string]bool, field, name string) {
	if name == "" {
		c.d.Report(field, "nothing", "a name")
	}
	if seen[name] {
		c.d.Report(field, fmt.Sprintf("%q a second time", name), "each name once")
	}
	seen[name] = true
}

func (c *checker) atLeast(field string, value, least int) {
	if value < least {
		c.d.Report(field, fmt.Sprint(value), fmt.Sprintf("%d or more", least))
	}
}

func (c *checker) priority(field, name string) {
	for _, known := range c.p.Configuration.Priorities {
		if known == name {
			return
		}
	}
	c.d.Report(field, fmt.Sprintf("%q", name), "one of Priorities: "+strings.Join(c.p.Configuration.Priorities, ", "))
}

func (c *checker) organisations() {
	seen := make(map[string]bool)
	for i := range c.p.Configuration.Organisations {
		o := &c.p.Configuration.Organisations[i]
		at := fmt.Sprintf("Organisations[%d].", i)
		c.unique(seen, at+"Name", string(o.Name))
		c.atLeast(at+"Concurrency", o.Concurrency, 1)
		c.atLeast(at+"Queue", o.Queue, 0)
		if o.Priority != "" {
			c.priority(at+"Priority", o.Priority)
		}
		if len(o.KeyHashes) == 0 {
			c.d.Report(at+"KeyHashes", "nothing", "one SHA-256 in hexadecimal or more")
		}
		for j, hash := range o.KeyHashes {
			c.keyHash(fmt.Sprintf("%sKeyHashes[%d]", at, j), hash, o)
		}
	}
}

func (c *checker) keyHash(field, hash string, o *document.Organisation) {
	const digestBytes = 32
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != digestBytes || hash != strings.ToLower(hash) {
		c.d.Report(field, fmt.Sprintf("%q", hash), "a SHA-256 in lower-case hexadecimal")
		return
	}
	if other, taken := c.p.keys[hash]; taken {
		c.d.Report(field, fmt.Sprintf("the key of %q", other.Name), "a key of one organisation only")
		return
	}
	c.p.keys[hash] = o
}

func (c *checker) pools() {
	seen := make(map[string]bool)
	for i := range c.p.Configuration.Pools {
		o := &c.p.Configuration.Pools[i]
		at := fmt.Sprintf("Pools[%d].", i)
		c.unique(seen, at+"Name", string(o.Name))
		c.atLeast(at+"MaxInFlight", o.MaxInFlight, 1)
		c.atLeast(at+"Slots", o.Slots, 0)
		if o.Model != "" {
			c.atLeast(at+"PrefillPerSecond", o.PrefillPerSecond, 1)
			c.atLeast(at+"DecodePerSecond", o.DecodePerSecond, 1)
		}
		c.p.pools[o.Name] = o
		c.wanted(at+"Wanted", o.Wanted)
	}
}

func (c *checker) wanted(field string, list []document.Wanted) {
	seen := make(map[string]bool)
	for i, w := range list {
		at := fmt.Sprintf("%s[%d].", field, i)
		c.unique(seen, at+"AvailabilityZone", string(w.AvailabilityZone))
		c.atLeast(at+"Hosts", w.Hosts, 0)
		if len(c.p.Configuration.Prices) == 0 {
			c.d.Report(at+"Hosts", "a wanted size without Prices", "Prices, so that hosts can be chosen")
		}
	}
}

func (c *checker) services() {
	if len(c.p.Configuration.Services) == 0 {
		c.d.Report("Services", "nothing", "one service or more")
	}
	seen := make(map[string]bool)
	for i := range c.p.Configuration.Services {
		s := &c.p.Configuration.Services[i]
		at := fmt.Sprintf("Services[%d].", i)
		c.unique(seen, at+"Name", string(s.Name))
		if s.Kind != document.KindModel && s.Kind != document.KindPlain {
			c.d.Report(at+"Kind", fmt.Sprintf("%q", s.Kind), "model, plain")
		}
		if s.Timeout <= 0 {
			c.d.Report(at+"Timeout", s.Timeout.String(), "a duration above 0")
		}
		c.pool(at+"Pool", s.Pool, s.Kind)
		c.p.services[s.Name] = s
	}
}

func (c *checker) pool(field string, name identifier.Pool, kind document.Kind) {
	pool, ok := c.p.pools[name]
	if !ok {
		c.d.Report(field, fmt.Sprintf("%q", name), "the name of one of Pools")
		return
	}
	if kind == document.KindModel && pool.Model == "" {
		c.d.Report(field, fmt.Sprintf("%q, a pool without Model", name), "a pool with a Model")
	}
}

func (c *checker) prices() {
	for i, price := range c.p.Configuration.Prices {
		at := fmt.Sprintf("Prices[%d].", i)
		if price.Class != document.ClassReclaimable && price.Class != document.ClassOnDemand {
			c.d.Report(at+"Class", fmt.Sprintf("%q", price.Class), "reclaimable, on-demand")
		}
		if price.PerHour < 0 {
			c.d.Report(at+"PerHour", fmt.Sprint(price.PerHour), "0 or more")
		}
		key := priceKey{price.AvailabilityZone, price.Class}
		if _, twice := c.p.prices[key]; twice {
			c.d.Report(at+"AvailabilityZone", fmt.Sprintf("%s %s a second time", price.AvailabilityZone, price.Class), "each pair once")
		}
		c.p.prices[key] = price.PerHour
	}
	if c.p.Configuration.Fleet.SpendingPerHour < 0 {
		c.d.Report("Fleet.SpendingPerHour", fmt.Sprint(c.p.Configuration.Fleet.SpendingPerHour), "0 or more")
	}
	c.atLeast("Fleet.LoadsPerMinute", c.p.Configuration.Fleet.LoadsPerMinute, 0)
	if c.p.Configuration.Routing.FirstToken <= 0 {
		c.d.Report("Routing.FirstToken", c.p.Configuration.Routing.FirstToken.String(), "a duration above 0")
	}
	if c.p.Configuration.Routing.RecomputeWeight < 0 {
		c.d.Report("Routing.RecomputeWeight", fmt.Sprint(c.p.Configuration.Routing.RecomputeWeight), "0 or more")
	}
}

func (c *checker) rules() {
	names := make(map[string]bool)
	conditions := make(map[string]string)
	always := ""
	for i := range c.p.Configuration.Rules {
		r := &c.p.Configuration.Rules[i]
		at := fmt.Sprintf("Rules[%d].", i)
		c.unique(names, at+"Name", r.Name)
		c.action(at+"Then.", &r.Then)
		if always != "" {
			c.d.Report(at+"When", "a rule that is never reached, as "+always+" always holds", "rules before the one that always holds")
		}
		text := c.condition(at+"When", r.When)
		if earlier, twice := conditions[text]; twice && text != "" {
			c.d.Report(at+"When", "the condition of "+earlier+" again, so never reached", "a condition of its own")
		}
		conditions[text] = r.Name
		if text == "true" {
			always = r.Name
		}
	}
}

// condition compiles one condition and returns its normal form for
// comparison, empty if it has a problem.
func (c *checker) condition(field, when string) string {
	program, err := expr.Compile(when, expr.Env(&Facts{}), expr.AsBool())
	if err != nil {
		c.d.Report(field, firstLine(err.Error()), "a boolean expression over the facts of a request")
		return ""
	}
	c.p.conditions = append(c.p.conditions, program)
	root := program.Node()
	names := nameChecker{c: c, field: field}
	ast.Walk(&root, &names)
	if !names.asks {
		return c.constant(field, program)
	}
	if contradicts(root, make(map[string]string)) {
		c.d.Report(field, "a condition that never holds: it wants one fact to be two things", "one that can hold")
	}
	return root.String()
}

// constant evaluates a condition that asks for no fact.
func (c *checker) constant(field string, program *vm.Program) string {
	out, err := expr.Run(program, &Facts{})
	if err != nil || out != true {
		c.d.Report(field, "a condition that never holds", "one that can hold")
		return ""
	}
	return "true"
}

// contradicts finds a fact that is compared with two different texts within
// one conjunction.
func contradicts(n ast.Node, seen map[string]string) bool {
	b, ok := n.(*ast.BinaryNode)
	if !ok {
		return false
	}
	if b.Operator == "&&" || b.Operator == "and" {
		return contradicts(b.Left, seen) || contradicts(b.Right, seen)
	}
	id, isID := b.Left.(*ast.IdentifierNode)
	text, isText := b.Right.(*ast.StringNode)
	if b.Operator != "==" || !isID || !isText {
		return false
	}
	before, twice := seen[id.Value]
	seen[id.Value] = text.Value
	return twice && before != text.Value
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

func (c *checker) action(at string, a *document.Action) {
	if a.Priority != "" {
		c.priority(at+"Priority", a.Priority)
	}
	if a.Pool != "" {
		c.pool(at+"Pool", a.Pool, "")
	}
	if a.HoldFor != "" {
		c.witness(at+"HoldFor", a.HoldFor)
	}
	if a.RetryAfter > 0 && a.Refuse == "" {
		c.d.Report(at+"RetryAfter", a.RetryAfter.String(), "only beside Refuse")
	}
}

func (c *checker) witness(field string, name identifier.Service) {
	if s, ok := c.p.services[name]; !ok || s.Kind != document.KindPlain {
		c.d.Report(field, fmt.Sprintf("%q", name), "the name of a plain service")
	}
}

// nameChecker finds conditions that compare with a name that does not exist:
// such a rule can never match, mostly for a typing error.
type nameChecker struct {
	c     *checker
	field string
	// asks is set when the condition asks for any fact.
	asks bool
}

var _ ast.Visitor = (*nameChecker)(nil)

// Visit looks at one node of a condition.
func (n *nameChecker) Visit(node *ast.Node) {
	if _, ok := (*node).(*ast.IdentifierNode); ok {
		n.asks = true
	}
	b, ok := (*node).(*ast.BinaryNode)
	if !ok || b.Operator != "==" {
		return
	}
	n.compare(b.Left, b.Right)
	n.compare(b.Right, b.Left)
}

func (n *nameChecker) compare(subject, value ast.Node) {
	id, ok := subject.(*ast.IdentifierNode)
	if !ok {
		return
	}
	text, ok := value.(*ast.StringNode)
	if !ok {
		return
	}
	known, allowed := n.known(id.Value, text.Value)
	if !known {
		n.c.d.Report(n.field, fmt.Sprintf("%s %q, which does not exist", id.Value, text.Value), allowed)
	}
}

func (n *nameChecker) known(fact, value string) (known bool, allowed string) {
	switch fact {
	case "Organisation":
		for i := range n.c.p.Configuration.Organisations {
			known = known || string(n.c.p.Configuration.Organisations[i].Name) == value
		}
		return known, "the name of one of Organisations"
	case "Service":
		_, known = n.c.p.services[identifier.Service(value)]
		return known, "the name of one of Services"
	case "Kind":
		return value == string(document.KindModel) || value == string(document.KindPlain), "model, plain"
	case "Priority":
		for _, p := range n.c.p.Configuration.Priorities {
			known = known || p == value
		}
		return known, "one of Priorities"
	}
	return true, ""
}
