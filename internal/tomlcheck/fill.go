package tomlcheck

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// filler sets a struct from a table and its default tags.
type filler struct {
	file     string
	problems Problems
}

func (f *filler) table(path string, t Table, v reflect.Value) {
	typ := v.Type()
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := field.Tag.Get("toml")
		if key == "" || key == "-" {
			continue
		}
		value, present := t[key]
		f.field(join(path, key), value, present, field, v.Field(i))
	}
}

func (f *filler) field(path string, value any, present bool, field reflect.StructField, v reflect.Value) {
	switch {
	case field.Type.Kind() == reflect.Struct:
		sub, _ := value.(Table)
		f.table(path, sub, v)
	case !present:
		f.fillMissing(path, field, v)
	case field.Type.Kind() == reflect.Slice:
		f.list(path, value, field, v)
	case scalarProblem(value, field.Type, field.Tag) == "":
		setScalar(v, value)
	}
}

// fillMissing sets the default of a key that is absent, or reports the key if it is required.
func (f *filler) fillMissing(path string, field reflect.StructField, v reflect.Value) {
	if field.Tag.Get("required") != "" {
		f.problems.Add(f.file, path, "nothing", ruleText(field))
		return
	}
	text, ok := field.Tag.Lookup("default")
	if !ok {
		return
	}
	switch v.Kind() {
	case reflect.Slice:
		v.Set(reflect.ValueOf(strings.Split(text, "|")))
	case reflect.String:
		v.SetString(text)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		mustParse(err, path)
		v.SetFloat(n)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		mustParse(err, path)
		v.SetInt(n)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		mustParse(err, path)
		v.SetBool(b)
	}
}

// mustParse panics if the value of a default tag does not parse.
func mustParse(err error, path string) {
	if err != nil {
		panic(fmt.Sprintf("tomlcheck: bad default tag of %s: %v", path, err))
	}
}

// ruleText describes the allowed values of a key, for Problem.Allowed.
func ruleText(field reflect.StructField) string {
	tag := field.Tag
	if allowed, ok := tag.Lookup("oneof"); ok {
		return "one of " + strings.ReplaceAll(allowed, "|", ", ")
	}
	switch tag.Get("format") {
	case "name":
		return nameRule
	case "address":
		return addressRule
	case "sha256":
		return digestRule
	}
	switch field.Type.Kind() {
	case reflect.Slice:
		return "a list with at least one entry"
	case reflect.String:
		return "a string that is not empty"
	}
	return "a number" + rangeText(tag)
}

func (f *filler) list(path string, value any, field reflect.StructField, v reflect.Value) {
	elem := field.Type.Elem()
	if elem.Kind() == reflect.Struct {
		tables, _ := tableList(value)
		out := reflect.MakeSlice(field.Type, len(tables), len(tables))
		for i, t := range tables {
			f.table(entryPath(path, i, t), t, out.Index(i))
		}
		v.Set(out)
		return
	}
	items, _ := value.([]any)
	if len(items) == 0 && field.Tag.Get("required") != "" {
		f.problems.Add(f.file, path, "an empty list", ruleText(field))
	}
	out := reflect.MakeSlice(field.Type, 0, len(items))
	for _, item := range items {
		if scalarProblem(item, elem, field.Tag) != "" {
			continue
		}
		e := reflect.New(elem).Elem()
		setScalar(e, item)
		out = reflect.Append(out, e)
	}
	v.Set(out)
}

func setScalar(v reflect.Value, value any) {
	switch x := value.(type) {
	case string:
		v.SetString(x)
	case bool:
		v.SetBool(x)
	case int64:
		if v.Kind() == reflect.Float64 {
			v.SetFloat(float64(x))
		} else {
			v.SetInt(x)
		}
	case float64:
		v.SetFloat(x)
	}
}
