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

// checker runs the semantic checks of a configuration. It adds their problems to the
// decoder's and fills the plan's indexes.
type checker struct {
	decoder decoder.Decoder
	plan    *Plan
}

func (c *checker) checkUniqueName(seen map[string]bool, field, name string) {
	if name == "" {
		c.decoder.Report(field, "nothing", "a name")
	}
	if seen[name] {
		c.decoder.Report(field, fmt.Sprintf("%q a second time", name), "each name once")
	}
	seen[name] = true
}

func (c *checker) checkMin(field string, value, least int) {
	if value < least {
		c.decoder.Report(field, fmt.Sprint(value), fmt.Sprintf("%d or more", least))
	}
}

func (c *checker) checkPriority(field, name string) {
	for _, known := range c.plan.Configuration.Priorities {
		if known == name {
			return
		}
	}
	c.decoder.Report(field, fmt.Sprintf("%q", name), "one of Priorities: "+strings.Join(c.plan.Configuration.Priorities, ", "))
}

func (c *checker) checkOrganisations() {
	seen := make(map[string]bool)
	for i := range c.plan.Configuration.Organisations {
		o := &c.plan.Configuration.Organisations[i]
		path := fmt.Sprintf("Organisations[%d].", i)
		c.checkUniqueName(seen, path+"Name", string(o.Name))
		c.checkMin(path+"Concurrency", o.Concurrency, 1)
		c.checkMin(path+"Queue", o.Queue, 0)
		if o.Priority != "" {
			c.checkPriority(path+"Priority", o.Priority)
		}
		if len(o.KeyHashes) == 0 {
			c.decoder.Report(path+"KeyHashes", "nothing", "at least one SHA-256 in hexadecimal")
		}
		for j, hash := range o.KeyHashes {
			c.checkKeyHash(fmt.Sprintf("%sKeyHashes[%d]", path, j), hash, o)
		}
	}
}

func (c *checker) checkKeyHash(field, hash string, o *document.Organisation) {
	const digestBytes = 32
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != digestBytes || hash != strings.ToLower(hash) {
		c.decoder.Report(field, fmt.Sprintf("%q", hash), "a SHA-256 in lower-case hexadecimal")
		return
	}
	if other, taken := c.plan.keys[hash]; taken {
		c.decoder.Report(field, fmt.Sprintf("the key of %q", other.Name), "a key of one organisation only")
		return
	}
	c.plan.keys[hash] = o
}

func (c *checker) checkPools() {
	seen := make(map[string]bool)
	for i := range c.plan.Configuration.Pools {
		o := &c.plan.Configuration.Pools[i]
		path := fmt.Sprintf("Pools[%d].", i)
		c.checkUniqueName(seen, path+"Name", string(o.Name))
		c.checkMin(path+"MaxInFlight", o.MaxInFlight, 1)
		c.checkMin(path+"Slots", o.Slots, 0)
		if o.Model != "" {
			c.checkMin(path+"PrefillPerSecond", o.PrefillPerSecond, 1)
			c.checkMin(path+"DecodePerSecond", o.DecodePerSecond, 1)
		}
		c.plan.pools[o.Name] = o
		c.checkWanted(path+"Wanted", o.Wanted)
	}
}

func (c *checker) checkWanted(field string, list []document.Wanted) {
	seen := make(map[string]bool)
	for i, w := range list {
		path := fmt.Sprintf("%s[%d].", field, i)
		c.checkUniqueName(seen, path+"AvailabilityZone", string(w.AvailabilityZone))
		c.checkMin(path+"Hosts", w.Hosts, 0)
		if len(c.plan.Configuration.Prices) == 0 {
			c.decoder.Report(path+"Hosts", "a wanted size without Prices", "Prices, so that hosts can be chosen")
		}
	}
}

func (c *checker) checkServices() {
	if len(c.plan.Configuration.Services) == 0 {
		c.decoder.Report("Services", "nothing", "at least one service")
	}
	seen := make(map[string]bool)
	for i := range c.plan.Configuration.Services {
		s := &c.plan.Configuration.Services[i]
		path := fmt.Sprintf("Services[%d].", i)
		c.checkUniqueName(seen, path+"Name", string(s.Name))
		if s.Kind != document.KindModel && s.Kind != document.KindPlain {
			c.decoder.Report(path+"Kind", fmt.Sprintf("%q", s.Kind), "model, plain")
		}
		if s.Timeout <= 0 {
			c.decoder.Report(path+"Timeout", s.Timeout.String(), "a duration above 0")
		}
		c.checkPoolReference(path+"Pool", s.Pool, s.Kind)
		c.plan.services[s.Name] = s
	}
}

func (c *checker) checkPoolReference(field string, name identifier.Pool, kind document.Kind) {
	pool, ok := c.plan.pools[name]
	if !ok {
		c.decoder.Report(field, fmt.Sprintf("%q", name), "the name of one of Pools")
		return
	}
	if kind == document.KindModel && pool.Model == "" {
		c.decoder.Report(field, fmt.Sprintf("%q, a pool without Model", name), "a pool with a Model")
	}
}

func (c *checker) checkPrices() {
	for i, price := range c.plan.Configuration.Prices {
		path := fmt.Sprintf("Prices[%d].", i)
		if price.Class != document.ClassReclaimable && price.Class != document.ClassOnDemand {
			c.decoder.Report(path+"Class", fmt.Sprintf("%q", price.Class), "reclaimable, on-demand")
		}
		if price.PerHour < 0 {
			c.decoder.Report(path+"PerHour", fmt.Sprint(price.PerHour), "0 or more")
		}
		key := priceKey{price.AvailabilityZone, price.Class}
		if _, twice := c.plan.prices[key]; twice {
			c.decoder.Report(path+"AvailabilityZone", fmt.Sprintf("%s %s a second time", price.AvailabilityZone, price.Class), "each pair once")
		}
		c.plan.prices[key] = price.PerHour
	}
	if c.plan.Configuration.Fleet.SpendingPerHour < 0 {
		c.decoder.Report("Fleet.SpendingPerHour", fmt.Sprint(c.plan.Configuration.Fleet.SpendingPerHour), "0 or more")
	}
	c.checkMin("Fleet.LoadsPerMinute", c.plan.Configuration.Fleet.LoadsPerMinute, 0)
	if c.plan.Configuration.Routing.FirstToken <= 0 {
		c.decoder.Report("Routing.FirstToken", c.plan.Configuration.Routing.FirstToken.String(), "a duration above 0")
	}
	if c.plan.Configuration.Routing.RecomputeWeight < 0 {
		c.decoder.Report("Routing.RecomputeWeight", fmt.Sprint(c.plan.Configuration.Routing.RecomputeWeight), "0 or more")
	}
}

func (c *checker) checkRules() {
	names := make(map[string]bool)
	conditions := make(map[string]string)
	unconditional := ""
	for i := range c.plan.Configuration.Rules {
		r := &c.plan.Configuration.Rules[i]
		path := fmt.Sprintf("Rules[%d].", i)
		c.checkUniqueName(names, path+"Name", r.Name)
		c.checkAction(path+"Then.", &r.Then)
		if unconditional != "" {
			c.decoder.Report(path+"When", "a rule that is never reached, as "+unconditional+" always holds", "rules before the one that always holds")
		}
		text := c.compileCondition(path+"When", r.When)
		if earlier, twice := conditions[text]; twice && text != "" {
			c.decoder.Report(path+"When", "the condition of "+earlier+" again, so never reached", "a condition of its own")
		}
		conditions[text] = r.Name
		if text == "true" {
			unconditional = r.Name
		}
	}
}

// compileCondition compiles one condition and returns its normal form, by which
// conditions are compared, or "" if it has a problem.
func (c *checker) compileCondition(field, when string) string {
	program, err := expr.Compile(when, expr.Env(&Facts{}), expr.AsBool())
	if err != nil {
		c.decoder.Report(field, firstLine(err.Error()), "a boolean expression over the facts of a request")
		return ""
	}
	c.plan.conditions = append(c.plan.conditions, program)
	root := program.Node()
	names := nameChecker{checker: c, field: field}
	ast.Walk(&root, &names)
	if !names.usesFacts {
		return c.checkConstant(field, program)
	}
	if isContradiction(root, make(map[string]string)) {
		c.decoder.Report(field, "a condition that never holds: it requires one fact to equal two different strings", "one that can hold")
	}
	return root.String()
}

// checkConstant evaluates a condition that uses no fact. It returns the normal form
// "true", or "" if the condition is not true.
func (c *checker) checkConstant(field string, program *vm.Program) string {
	out, err := expr.Run(program, &Facts{})
	if err != nil || out != true {
		c.decoder.Report(field, "a condition that never holds", "one that can hold")
		return ""
	}
	return "true"
}

// isContradiction reports whether a conjunction requires one fact to equal two
// different strings. seen holds the strings found so far, by fact.
func isContradiction(n ast.Node, seen map[string]string) bool {
	b, ok := n.(*ast.BinaryNode)
	if !ok {
		return false
	}
	if b.Operator == "&&" || b.Operator == "and" {
		return isContradiction(b.Left, seen) || isContradiction(b.Right, seen)
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

func (c *checker) checkAction(path string, a *document.Action) {
	if a.Priority != "" {
		c.checkPriority(path+"Priority", a.Priority)
	}
	if a.Pool != "" {
		c.checkPoolReference(path+"Pool", a.Pool, "")
	}
	if a.HoldFor != "" {
		c.checkPlainService(path+"HoldFor", a.HoldFor)
	}
	if a.RetryAfter > 0 && a.Refuse == "" {
		c.decoder.Report(path+"RetryAfter", a.RetryAfter.String(), "only beside Refuse")
	}
}

func (c *checker) checkPlainService(field string, name identifier.Service) {
	if s, ok := c.plan.services[name]; !ok || s.Kind != document.KindPlain {
		c.decoder.Report(field, fmt.Sprintf("%q", name), "the name of a plain service")
	}
}
