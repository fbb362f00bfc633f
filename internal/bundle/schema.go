package bundle

import (
	"fmt"
	"regexp"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// schema describes the expected structure of one node of a bundle file.
type schema struct {
	kind     schemaKind
	fields   map[string]*schema // of an object
	required []string           // of an object
	element  *schema            // of a list
}

type schemaKind string

const (
	objectNode  schemaKind = "an object"
	listNode    schemaKind = "a list"
	stringNode  schemaKind = "a string"
	integerNode schemaKind = "a whole number"
	booleanNode schemaKind = "true or false"
)

var (
	stringSchema  = &schema{kind: stringNode}
	integerSchema = &schema{kind: integerNode}
	booleanSchema = &schema{kind: booleanNode}

	bundleSchema = &schema{kind: objectNode, required: []string{"teams", "queues"}, fields: map[string]*schema{
		"teams":  {kind: listNode, element: teamSchema},
		"queues": {kind: listNode, element: queueSchema},
	}}
	teamSchema = &schema{kind: objectNode, required: []string{"id", "share", "limit", "claim-region"}, fields: map[string]*schema{
		"id": stringSchema, "share": integerSchema, "limit": integerSchema, "claim-region": stringSchema,
		"queue-limit": integerSchema, "keys": {kind: listNode, element: keySchema},
	}}
	keySchema = &schema{kind: objectNode, required: []string{"id", "hash"}, fields: map[string]*schema{
		"id": stringSchema, "hash": stringSchema,
	}}
	queueSchema = &schema{kind: objectNode, required: []string{"id", "kind"}, fields: map[string]*schema{
		"id": stringSchema, "kind": stringSchema, "open": booleanSchema, "urgent": booleanSchema,
		"priority": integerSchema, "teams": {kind: listNode, element: stringSchema}, "deadline-ms": integerSchema,
		"retries": integerSchema, "max-demand": demandSchema, "max-tasks": integerSchema,
	}}
	demandSchema = &schema{kind: objectNode, fields: map[string]*schema{
		"milli-cpu": integerSchema, "memory-mb": integerSchema, "gpus": integerSchema, "slots": integerSchema,
		"connections": integerSchema,
	}}
)

// maxProblems bounds how many problems are collected from a file that doesn't match the schema at all.
const maxProblems = 1000

// schemaChecker records the line of each field and collects every violation of the schema. The YAML decoder alone isn't
// enough: in places it converts between numbers, strings and booleans, it stops at the first error, and its errors quote
// the file.
type schemaChecker struct {
	lines    map[string]int
	problems Problems
}

func (c *schemaChecker) add(line int, field, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// checkNode checks a node and its children against the schema.
func (c *schemaChecker) checkNode(field string, n ast.Node, want *schema) {
	line := n.GetToken().Position.Line
	if _, ok := c.lines[field]; !ok {
		c.lines[field] = line
	}
	switch want.kind {
	case objectNode:
		if m, ok := n.(ast.MapNode); ok {
			c.checkObject(field, line, m, want)
			return
		}
	case listNode:
		if list, ok := n.(*ast.SequenceNode); ok {
			for i, value := range list.Values {
				c.checkNode(fmt.Sprintf("%s[%d]", field, i), value, want.element)
			}
			return
		}
	case stringNode:
		switch n.(type) {
		case *ast.StringNode, *ast.LiteralNode:
			return
		}
	case integerNode:
		if i, ok := n.(*ast.IntegerNode); ok {
			c.checkInteger(field, line, i)
			return
		}
		if t := n.GetToken(); (t.Type == token.StringType || t.Type == token.FloatType) && integerPattern.MatchString(t.Value) {
			c.add(line, field, "number is too large")
			return
		}
	case booleanNode:
		if _, ok := n.(*ast.BoolNode); ok {
			return
		}
	}
	c.add(line, field, "must be %s", want.kind)
}

// checkInteger refuses numbers outside the range of int64; Validate applies the bounds of each field.
func (c *schemaChecker) checkInteger(field string, line int, n *ast.IntegerNode) {
	if _, fits := n.Value.(int64); fits {
		return
	}
	if u, ok := n.Value.(uint64); !ok || u > 1<<63-1 {
		c.add(line, field, "number is too large")
	}
}

// integerPattern matches integers beyond 64 bits, which the YAML parser returns as strings or floats.
var integerPattern = regexp.MustCompile(`^[-+]?[0-9]+$`)

// printableName matches field names that are safe to print. A secret pasted as a field name contains digits or capitals.
var printableName = regexp.MustCompile(`^[a-z][a-z_-]{0,31}$`)

// checkObject checks the names and the values of the fields of an object.
func (c *schemaChecker) checkObject(field string, line int, m ast.MapNode, want *schema) {
	present := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key, ok := it.Key().(ast.ScalarNode)
		name := ""
		if ok {
			name, ok = key.GetValue().(string)
		}
		keyLine := it.Key().GetToken().Position.Line
		child, known := want.fields[name]
		switch {
		case !ok:
			c.add(keyLine, field, "field name must be a string")
		case !known && !printableName.MatchString(name):
			c.add(keyLine, field, "unknown field")
		case !known:
			c.add(keyLine, joinPath(field, name), "unknown field")
		case present[name]:
			c.add(keyLine, joinPath(field, name), "field is given twice")
		default:
			c.lines[joinPath(field, name)] = keyLine
			c.checkNode(joinPath(field, name), it.Value(), child)
		}
		present[name] = true
	}
	for _, name := range want.required {
		if !present[name] {
			c.add(line, joinPath(field, name), "field is missing")
		}
	}
}

// joinPath appends a field name to the path of its object.
func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
