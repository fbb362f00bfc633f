package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in one field of a bundle. It never contains a value that could be a secret.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // counted from 1; 0 when the bundle wasn't read from a file
	Field   string `json:"field"`          // path such as teams[2].keys[0].hash
	Message string `json:"message"`
}

// Error formats the problem as file:line: field: message.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems lists the errors found in a bundle, sorted by line.
type Problems []Problem

// maxShownProblems bounds how many problems Error prints, so that an invalid file can't flood a log.
const maxShownProblems = 20

// Error joins the first maxShownProblems problems with newlines.
func (p Problems) Error() string {
	var lines []string
	for _, q := range p[:min(len(p), maxShownProblems)] {
		lines = append(lines, q.Error())
	}
	if more := len(p) - maxShownProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", more))
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(field, format string, args ...any) {
	*p = append(*p, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// err returns nil if there are no problems.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// locate sets the file and line of each problem and sorts by line. A field without a line of its own gets the line of its
// closest enclosing field.
func (p Problems) locate(file string, lines map[string]int) {
	for i := range p {
		p[i].File = file
		if p[i].Line > 0 {
			continue
		}
		p[i].Line = 1
		for field := p[i].Field; field != ""; field = parentField(field) {
			if line, ok := lines[field]; ok {
				p[i].Line = line
				break
			}
		}
	}
	slices.SortStableFunc(p, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}

// parentField removes the last name or index from a field path.
func parentField(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}
