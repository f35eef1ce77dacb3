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
