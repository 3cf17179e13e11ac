package config

import (
	"fmt"
	"sort"

	"github.com/crocusreel/crocusreel/internal/tomlcheck"
)

// Change describes one key that differs between two documents.
type Change struct {
	// Part is "base", or "overlays/" followed by a data centre.
	Part string `json:"part"`
	// Key is the dotted path of the key. List entries are identified by name, or by index if they
	// have none.
	Key string `json:"key"`
	// Old and New are the key's values as text. Each is empty if the key is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: + %s = %s", c.Part, c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: - %s = %s", c.Part, c.Key, c.Old)
	}
	return fmt.Sprintf("%s: ~ %s = %s -> %s", c.Part, c.Key, c.Old, c.New)
}

// Diff lists the keys that differ between two documents, in a stable order. A part that is not valid
// TOML is compared as a single value.
func Diff(old, updated Document) []Change {
	changes := diffPart(baseName, old.Base, updated.Base)
	names := make(map[string]bool)
	for name := range old.Overlays {
		names[name] = true
	}
	for name := range updated.Overlays {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		changes = append(changes, diffPart(overlayName(name), old.Overlays[name], updated.Overlays[name])...)
	}
	return changes
}

func diffPart(part, old, updated string) []Change {
	before, after := flatten(part, old), flatten(part, updated)
	keys := make(map[string]bool)
	for k := range before {
		keys[k] = true
	}
	for k := range after {
		keys[k] = true
	}
	var changes []Change
	for k := range keys {
		if before[k] != after[k] {
			changes = append(changes, Change{Part: part, Key: k, Old: before[k], New: after[k]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// flatten returns the values of a part as text, by dotted key.
func flatten(part, text string) map[string]string {
	out := make(map[string]string)
	t, problems := tomlcheck.Parse(part, text)
	if len(problems) > 0 {
		out["(text)"] = fmt.Sprintf("%q", text)
		return out
	}
	flattenInto(out, "", t)
	return out
}

func flattenInto(out map[string]string, path string, v any) {
	if t, ok := v.(tomlcheck.Table); ok {
		for key, sub := range t {
			next := key
			if path != "" {
				next = path + "." + key
			}
			flattenInto(out, next, sub)
		}
		return
	}
	entries := namedEntries(v)
	if len(entries) == 0 {
		out[path] = formatValue(v)
		return
	}
	for i, e := range entries {
		name := nameOf(e)
		if name == "" {
			name = itoa(i)
		}
		flattenInto(out, path+"["+name+"]", e)
	}
}
