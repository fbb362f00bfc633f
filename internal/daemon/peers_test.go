package daemon

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against a peer method that has no handler or is missing from the design page.
func TestPeerMethods(t *testing.T) {
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	handlers, page := read("peers.go"), read("../../docs/design.md")
	methods := regexp.MustCompile(`\t(Method\w+) += "([^"]+)"`).FindAllStringSubmatch(read("../peer/wire/wire.go"), -1)
	if len(methods) < 20 {
		t.Fatalf("found only %d peer methods in wire.go", len(methods))
	}
	for _, m := range methods {
		if !strings.Contains(handlers, "peer.Handle(n, wire."+m[1]+",") {
			t.Errorf("%s has no handler", m[1])
		}
		if !strings.Contains(page, "`"+m[2]+"`") {
			t.Errorf("%s is missing from the design page", m[2])
		}
	}
}
