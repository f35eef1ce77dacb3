package compiler

import (
	"fmt"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"

	"github.com/expr-lang/expr/ast"
)

// nameChecker reports conditions that compare a fact with a name that does not
// exist. Such a rule can never match, usually because of a typo.
type nameChecker struct {
	checker *checker
	field   string
	// usesFacts is set if the condition uses any fact.
	usesFacts bool
}

var _ ast.Visitor = (*nameChecker)(nil)

// Visit checks one node of a condition.
func (n *nameChecker) Visit(node *ast.Node) {
	if _, ok := (*node).(*ast.IdentifierNode); ok {
		n.usesFacts = true
	}
	b, ok := (*node).(*ast.BinaryNode)
	if !ok || b.Operator != "==" {
		return
	}
	n.checkComparison(b.Left, b.Right)
	n.checkComparison(b.Right, b.Left)
}

func (n *nameChecker) checkComparison(subject, value ast.Node) {
	id, ok := subject.(*ast.IdentifierNode)
	if !ok {
		return
	}
	text, ok := value.(*ast.StringNode)
	if !ok {
		return
	}
	known, allowed := n.isKnown(id.Value, text.Value)
	if !known {
		n.checker.decoder.Report(n.field, fmt.Sprintf("%s %q, which does not exist", id.Value, text.Value), allowed)
	}
}

// isKnown reports whether a fact can have a value, and which values are allowed.
func (n *nameChecker) isKnown(fact, value string) (known bool, allowed string) {
	switch fact {
	case "Organisation":
		for i := range n.checker.plan.Configuration.Organisations {
			known = known || string(n.checker.plan.Configuration.Organisations[i].Name) == value
		}
		return known, "the name of one of Organisations"
	case "Service":
		_, known = n.checker.plan.services[identifier.Service(value)]
		return known, "the name of one of Services"
	case "Kind":
		return value == string(document.KindModel) || value == string(document.KindPlain), "model, plain"
	case "Priority":
		for _, p := range n.checker.plan.Configuration.Priorities {
			known = known || p == value
		}
		return known, "one of Priorities"
	}
	return true, ""
}
