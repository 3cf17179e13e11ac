package config

import (
	"fmt"

	"github.com/crocusreel/crocusreel/internal/tomlcheck"
)

// mergeTables merges the overlay into the base and returns a new table. Tables are merged key by key
// and lists of named tables entry by entry. Any other value of the overlay replaces that of the base.
func mergeTables(base, overlay tomlcheck.Table) tomlcheck.Table {
	out := make(tomlcheck.Table, len(base)+len(overlay))
	for key, v := range base {
		out[key] = v
	}
	for key, v := range overlay {
		out[key] = mergeValues(out[key], v)
	}
	return out
}

func mergeValues(base, overlay any) any {
	if b, ok := base.(tomlcheck.Table); ok {
		if o, ok := overlay.(tomlcheck.Table); ok {
			return mergeTables(b, o)
		}
		return overlay
	}
	if entries := namedEntries(overlay); len(entries) > 0 {
		return mergeEntries(namedEntries(base), entries)
	}
	return overlay
}

// mergeEntries merges entries of the same name. It keeps the order of the base and appends entries with
// new names.
func mergeEntries(base, overlay []tomlcheck.Table) []tomlcheck.Table {
	out := append([]tomlcheck.Table(nil), base...)
	for _, entry := range overlay {
		at := indexOf(out, nameOf(entry))
		if at < 0 {
			out = append(out, entry)
			continue
		}
		out[at] = mergeTables(out[at], entry)
	}
	return out
}

func indexOf(entries []tomlcheck.Table, name string) int {
	for i, e := range entries {
		if nameOf(e) == name {
			return i
		}
	}
	return -1
}

// namedEntries returns the tables in a list, or nil if v is not a list or holds no tables.
func namedEntries(v any) []tomlcheck.Table {
	switch l := v.(type) {
	case []tomlcheck.Table:
		return l
	case []any:
		var out []tomlcheck.Table
		for _, item := range l {
			if t, ok := item.(tomlcheck.Table); ok {
				out = append(out, t)
			}
		}
		return out
	}
	return nil
}

func nameOf(entry tomlcheck.Table) string {
	name, _ := entry["name"].(string)
	return name
}

// namedLists holds the keys of the lists whose entries are merged by name.
var namedLists = []string{"models", "workspaces", "endpoints", "routes"}

// checkEntryNames reports entries without a name and names that occur twice in one part. Neither can
// be merged by name.
func checkEntryNames(p *parsedDocument) Problems {
	var problems Problems
	checkPart := func(part string, t tomlcheck.Table) {
		for _, list := range namedLists {
			seen := make(map[string]bool)
			for i, e := range namedEntries(t[list]) {
				name := nameOf(e)
				switch {
				case name == "":
					problems.Add(part, fmt.Sprintf("%s[%d].name", list, i), "nothing", "a name")
				case seen[name]:
					problems.Add(part, fmt.Sprintf("%s[%s]", list, name), "the name twice", "each name once")
				}
				seen[name] = true
			}
		}
	}
	checkPart(baseName, p.base)
	for _, dataCentre := range p.dataCentres() {
		checkPart(overlayName(dataCentre), p.overlays[dataCentre])
	}
	return problems
}
