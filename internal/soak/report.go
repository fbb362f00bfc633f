package soak

import (
	"fmt"
	"html/template"
	"os"
)

// WriteReport writes an HTML page with the fault plan and the violations of each seed.
func WriteReport(path string, results []Result) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the report: %w", err)
	}
	if err := reportTemplate.Execute(f, results); err != nil {
		_ = f.Close()
		return fmt.Errorf("write the report: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close the report: %w", err)
	}
	return nil
}

var reportTemplate = template.Must(template.New("soak").Parse(`<!doctype html>
<title>Fault soak</title>
<style>body{font:14px sans-serif} .broken{color:#b00} pre{margin:0}</style>
<h1>Fault soak</h1>
<table>
<tr><th>seed<th>faults<th>jobs submitted<th>accepted<th>starts<th>violations</tr>
{{range .}}<tr><td><a href="#s{{.Seed}}">{{.Seed}}</a><td>{{len .Plan}}<td>{{.Submitted}}<td>{{.Accepted}}<td>{{.Starts}}<td class="broken">{{len .Violations}}</tr>
{{end}}</table>
{{range .}}<h2 id="s{{.Seed}}">Seed {{.Seed}}</h2>
{{range .Violations}}<pre class="broken">{{.}}</pre>
{{end}}{{range .Plan}}<pre>{{.}}</pre>
{{end}}{{end}}`))
