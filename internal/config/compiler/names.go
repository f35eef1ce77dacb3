package compiler

import (
	"fmt"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"

	"github.com/expr-lang/expr/ast"
)

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
