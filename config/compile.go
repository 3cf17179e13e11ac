package config

import (
	"sort"
	"strings"

	"github.com/crocusreel/crocusreel/internal/tomlcheck"
)

// Problem describes one mistake in a document.
type Problem = tomlcheck.Problem

// Problems is an error that lists every mistake in a document.
type Problems = tomlcheck.Problems

// baseName and overlayName identify the parts of a document in problems and diffs.
const baseName = "base"

func overlayName(dataCentre string) string { return "overlays/" + dataCentre }

// Compile returns the effective configuration of one data centre: the base with the data centre's
// overlay merged into it by name. Endpoints are taken from all overlays, since every data centre must
// know every endpoint. A non-nil error is of type Problems.
func Compile(doc Document, dataCentre string) (*Config, error) {
	parsed, problems := parse(doc)
	if len(problems) > 0 {
		return nil, problems
	}
	c, problems := parsed.compile(dataCentre)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate checks the base on its own and with each overlay. A non-nil error is of type Problems and
// lists every mistake.
func Validate(doc Document) error {
	parsed, problems := parse(doc)
	if parsed == nil {
		return problems.Err()
	}
	// A data centre without an overlay uses the base on its own.
	base, found := parsed.compile("")
	problems = append(problems, found...)
	for _, dataCentre := range parsed.dataCentres() {
		_, found := parsed.compile(dataCentre)
		problems = append(problems, found...)
		if base != nil {
			checkOverlayKey(dataCentre, base, &problems)
		}
	}
	return removeDuplicates(problems).Err()
}

// checkOverlayKey reports an overlay for a data centre that the base does not list.
func checkOverlayKey(dataCentre string, base *Config, problems *Problems) {
	known := base.Service.DataCentres
	if len(known) > 0 && !contains(known, dataCentre) {
		problems.Add(overlayName(dataCentre), "(file name)", dataCentre, formatList(known))
	}
}

// parsedDocument holds the parsed parts of a document before they are merged.
type parsedDocument struct {
	base     tomlcheck.Table
	overlays map[string]tomlcheck.Table
}

func (p *parsedDocument) dataCentres() []string {
	names := make([]string, 0, len(p.overlays))
	for name := range p.overlays {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// parse parses and checks each part on its own. It returns nil if any part has a syntax error.
func parse(doc Document) (*parsedDocument, Problems) {
	p := &parsedDocument{overlays: make(map[string]tomlcheck.Table, len(doc.Overlays))}
	var problems Problems
	hasSyntaxError := false
	parsePart := func(name, text string) tomlcheck.Table {
		t, found := tomlcheck.Parse(name, text)
		problems = append(problems, found...)
		hasSyntaxError = hasSyntaxError || len(found) > 0
		problems = append(problems, tomlcheck.Check(name, t, new(Config))...)
		return t
	}
	p.base = parsePart(baseName, doc.Base)
	for name, text := range doc.Overlays {
		p.overlays[name] = parsePart(overlayName(name), text)
	}
	for _, name := range p.dataCentres() {
		checkOverlayEndpoints(name, p.overlays[name], &problems)
	}
	problems = append(problems, checkEntryNames(p)...)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].File < problems[j].File })
	if hasSyntaxError {
		return nil, problems
	}
	return p, problems
}

// checkOverlayEndpoints reports endpoints of an overlay that name another data centre. If two overlays
// could define the same endpoint differently, data centres would have different views of it. An
// endpoint without a data centre gets that of the overlay.
func checkOverlayEndpoints(dataCentre string, overlay tomlcheck.Table, problems *Problems) {
	for _, e := range namedEntries(overlay["endpoints"]) {
		named, present := e["data_centre"].(string)
		if present && named != dataCentre {
			problems.Add(overlayName(dataCentre), "endpoints["+nameOf(e)+"].data_centre", named, dataCentre)
		}
	}
}

// compile merges the parts for the data centre, fills in defaults and checks the result.
func (p *parsedDocument) compile(dataCentre string) (*Config, Problems) {
	name := baseName
	merged := p.base
	for _, other := range p.dataCentres() {
		if other != dataCentre {
			merged = mergeTables(merged, p.overlayEndpoints(other))
		}
	}
	if overlay, ok := p.overlays[dataCentre]; ok {
		name = baseName + "+" + overlayName(dataCentre)
		merged = mergeTables(merged, overlay)
		merged = mergeTables(merged, p.overlayEndpoints(dataCentre))
	}
	c := new(Config)
	problems := tomlcheck.Fill(name, merged, c)
	lowercaseDigests(c)
	check(name, c, &problems)
	if len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// lowercaseDigests converts key digests to lower case, the form in which they are compared.
func lowercaseDigests(c *Config) {
	for _, w := range c.Workspaces {
		for i, digest := range w.KeySHA256 {
			w.KeySHA256[i] = strings.ToLower(digest)
		}
	}
}

// overlayEndpoints returns a table with the endpoints of a data centre's overlay, which apply to every
// data centre. Endpoints that neither name a data centre nor appear in the base get the overlay's.
func (p *parsedDocument) overlayEndpoints(dataCentre string) tomlcheck.Table {
	entries := namedEntries(p.overlays[dataCentre]["endpoints"])
	if len(entries) == 0 {
		return nil
	}
	list := make([]tomlcheck.Table, len(entries))
	for i, e := range entries {
		list[i] = mergeTables(e, nil)
		if !p.hasBaseEndpoint(nameOf(e)) {
			if _, present := e["data_centre"]; !present {
				list[i]["data_centre"] = dataCentre
			}
		}
	}
	return tomlcheck.Table{"endpoints": list}
}

func (p *parsedDocument) hasBaseEndpoint(endpoint string) bool {
	for _, e := range namedEntries(p.base["endpoints"]) {
		if nameOf(e) == endpoint {
			return true
		}
	}
	return false
}

// removeDuplicates removes duplicates, and problems of the base that recur with each overlay.
func removeDuplicates(problems Problems) Problems {
	type position struct{ key, found string }
	inBase := make(map[position]bool)
	seen := make(map[Problem]bool)
	var out Problems
	for _, p := range problems {
		at := position{p.Key, p.Found}
		if seen[p] || (p.File != baseName && inBase[at]) {
			continue
		}
		seen[p] = true
		if p.File == baseName {
			inBase[at] = true
		}
		out = append(out, p)
	}
	return out
}
