package bundle

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Bounds of a bundle file.
const (
	// MaxFileBytes holds 110 teams with 500 keys each at about 120 bytes per key.
	MaxFileBytes = 8 << 20
	// maxDepth bounds the nesting, because the YAML parser is recursive; a bundle has 5 levels.
	maxDepth = 16
)

// Parse reads a bundle from YAML or JSON and validates it. Errors in the file are returned as Problems with file, line and
// field.
func Parse(file string, data []byte) (Bundle, error) {
	if len(data) > MaxFileBytes {
		return Bundle{}, Problems{{File: file, Line: 1, Message: fmt.Sprintf("%d bytes, at most %d allowed", len(data), MaxFileBytes)}}
	}
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '{' {
		// JSON may be indented with tabs, which YAML forbids. A valid JSON string can't contain a raw tab.
		data = bytes.ReplaceAll(data, []byte{'\t'}, []byte{' '})
	}
	b, lines, problems := decodeFile(data)
	if len(problems) == 0 {
		if err := Validate(b); err != nil && !errors.As(err, &problems) {
			return Bundle{}, fmt.Errorf("validate %s: %w", file, err)
		}
	}
	problems.locate(file, lines)
	if err := problems.err(); err != nil {
		return Bundle{}, err
	}
	return b, nil
}

// decodeFile returns the bundle and the line of each field, or the problems that prevent decoding.
func decodeFile(data []byte) (Bundle, map[string]int, Problems) {
	tokens := lexer.Tokenize(string(data))
	if p := checkTokens(tokens); p != nil {
		return Bundle{}, nil, Problems{*p}
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey()) // The schema check reports duplicate fields.
	if err != nil {
		return Bundle{}, nil, Problems{syntaxProblem(err)}
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		return Bundle{}, nil, Problems{{Line: 1, Message: fmt.Sprintf("must hold one document, found %d", len(bodies))}}
	}
	s := schemaChecker{lines: map[string]int{}}
	s.checkNode("", bodies[0], bundleSchema)
	if len(s.problems) > 0 {
		return Bundle{}, s.lines, s.problems
	}
	var b Bundle
	if err := yaml.NodeToValue(bodies[0], &b, yaml.Strict()); err != nil {
		return Bundle{}, s.lines, Problems{syntaxProblem(err)}
	}
	return b, s.lines, nil
}

// checkTokens refuses YAML features that a bundle doesn't need: deep nesting, and anchors, aliases and tags, with which a
// short file can expand without bound.
func checkTokens(tokens token.Tokens) *Problem {
	depth, entries, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, entries = t.Position.Line, 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			return &Problem{Line: line, Message: "anchors, aliases, tags, merge keys, complex keys and directives are not allowed"}
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType:
			entries++
		}
		if depth > maxDepth || entries > maxDepth {
			return &Problem{Line: line, Message: fmt.Sprintf("nested deeper than %d levels", maxDepth)}
		}
	}
	return nil
}

// syntaxProblem returns the parser's message and line without its excerpt of the file, which may contain secrets.
func syntaxProblem(err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Problem{Line: 1, Message: "can't be decoded"}
	}
	p := Problem{Line: 1, Message: located.GetMessage()}
	if t := located.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
	}
	return p
}
