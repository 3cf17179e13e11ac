package tomlcheck

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// Table is a decoded TOML table.
type Table = map[string]any

// Parse decodes the text of a file. A syntax error is reported with its line.
func Parse(file, text string) (Table, Problems) {
	var t Table
	_, err := toml.Decode(text, &t)
	if err == nil {
		return t, nil
	}
	var ps Problems
	if parse, ok := err.(toml.ParseError); ok {
		ps.Add(file, fmt.Sprintf("line %d", parse.Position.Line), "a syntax error: "+parse.Message, "TOML")
	} else {
		ps.Add(file, "(whole file)", err.Error(), "TOML")
	}
	return nil, ps
}

// Check reports unknown keys, wrong types and values out of range among the keys that are present.
// The target is a pointer to a struct and is not modified.
func Check(file string, t Table, target any) Problems {
	c := checker{file: file}
	c.table("", t, reflect.TypeOf(target).Elem())
	return c.problems
}

// Fill sets the fields of target, a pointer to a struct, from the table and from default tags. It
// reports required keys that are missing. Values that Check would report are skipped.
func Fill(file string, t Table, target any) Problems {
	f := filler{file: file}
	f.table("", t, reflect.ValueOf(target).Elem())
	return f.problems
}

// Load calls Parse, Check and Fill, and returns all problems. It stops after Parse if the syntax is
// wrong.
func Load(file, text string, target any) Problems {
	t, ps := Parse(file, text)
	if len(ps) > 0 {
		return ps
	}
	ps = Check(file, t, target)
	return append(ps, Fill(file, t, target)...)
}

// checker collects the problems of the keys that are present.
type checker struct {
	file     string
	problems Problems
}

func (c *checker) table(path string, t Table, typ reflect.Type) {
	fields := fieldsByKey(typ)
	for _, key := range sortedKeys(t) {
		field, known := fields[key]
		if !known {
			c.problems.Add(c.file, join(path, key), "an unknown key", strings.Join(sortedKeys(fields), ", "))
			continue
		}
		c.value(join(path, key), t[key], field)
	}
}

func (c *checker) value(path string, v any, field reflect.StructField) {
	switch field.Type.Kind() {
	case reflect.Struct:
		sub, ok := v.(Table)
		if !ok {
			c.problems.Add(c.file, path, describe(v, field.Tag), "a table")
			return
		}
		c.table(path, sub, field.Type)
	case reflect.Slice:
		c.list(path, v, field)
	default:
		if problem := scalarProblem(v, field.Type, field.Tag); problem != "" {
			c.problems.Add(c.file, path, describe(v, field.Tag), problem)
		}
	}
}

func (c *checker) list(path string, v any, field reflect.StructField) {
	elem := field.Type.Elem()
	if elem.Kind() == reflect.Struct {
		tables, ok := tableList(v)
		if !ok {
			c.problems.Add(c.file, path, describe(v, field.Tag), "a list of tables")
			return
		}
		for i, t := range tables {
			c.table(entryPath(path, i, t), t, elem)
		}
		return
	}
	items, ok := v.([]any)
	if !ok {
		c.problems.Add(c.file, path, describe(v, field.Tag), "a list")
		return
	}
	for i, item := range items {
		if problem := scalarProblem(item, elem, field.Tag); problem != "" {
			c.problems.Add(c.file, fmt.Sprintf("%s[%d]", path, i), describe(item, field.Tag), problem)
		}
	}
}

// tableList converts a list of tables, which the TOML library decodes to one of two types. It
// reports false for any other value.
func tableList(v any) ([]Table, bool) {
	switch l := v.(type) {
	case []Table:
		return l, true
	case []any:
		tables := make([]Table, len(l))
		for i, item := range l {
			t, ok := item.(Table)
			if !ok {
				return nil, false
			}
			tables[i] = t
		}
		return tables, true
	}
	return nil, false
}

// entryPath returns the path of the entry at index i, with its name instead of the index if it has
// one.
func entryPath(path string, i int, t Table) string {
	if name, ok := t["name"].(string); ok && name != "" {
		return fmt.Sprintf("%s[%s]", path, name)
	}
	return fmt.Sprintf("%s[%d]", path, i)
}

func fieldsByKey(typ reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, typ.NumField())
	for i := range typ.NumField() {
		field := typ.Field(i)
		if key := field.Tag.Get("toml"); key != "" && key != "-" {
			fields[key] = field
		}
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
