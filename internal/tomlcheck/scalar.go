package tomlcheck

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// namePattern matches names that are safe to use in paths, rows and logs.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const (
	nameRule    = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"
	addressRule = "IP:port"
	digestRule  = "a SHA-256 digest in 64 hex digits"
)

// scalarProblem returns a description of the allowed values if v is not one of them, and an empty
// string if v is valid. It panics if there is no rule for typ.
func scalarProblem(v any, typ reflect.Type, tag reflect.StructTag) string {
	switch typ.Kind() {
	case reflect.String:
		s, ok := v.(string)
		if !ok {
			return "a string"
		}
		return stringProblem(s, tag)
	case reflect.Bool:
		if _, ok := v.(bool); !ok {
			return "true or false"
		}
	case reflect.Int, reflect.Int64:
		n, ok := v.(int64)
		if !ok {
			return "a whole number" + rangeText(tag)
		}
		return rangeProblem(float64(n), tag)
	case reflect.Float64:
		f, ok := toFloat(v)
		if !ok {
			return "a number" + rangeText(tag)
		}
		return rangeProblem(f, tag)
	default:
		panic(fmt.Sprintf("tomlcheck: no rule for fields of type %s", typ))
	}
	return ""
}

func toFloat(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

func rangeProblem(f float64, tag reflect.StructTag) string {
	low, hasLow := tagBound(tag, "min")
	high, hasHigh := tagBound(tag, "max")
	// The comparisons are negated so that NaN is out of range.
	if (hasLow && !(f >= low)) || (hasHigh && !(f <= high)) {
		return "a number" + rangeText(tag)
	}
	return ""
}

// tagBound returns the value of a min or max tag, and whether the tag is present.
func tagBound(tag reflect.StructTag, name string) (float64, bool) {
	text, ok := tag.Lookup(name)
	if !ok {
		return 0, false
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("tomlcheck: bad %s tag %q", name, text))
	}
	return f, true
}

func rangeText(tag reflect.StructTag) string {
	low, hasLow := tag.Lookup("min")
	high, hasHigh := tag.Lookup("max")
	switch {
	case hasLow && hasHigh:
		return " from " + low + " to " + high
	case hasLow:
		return " of at least " + low
	case hasHigh:
		return " of at most " + high
	}
	return ""
}

// stringProblem is scalarProblem for strings. An empty string is valid unless the key is required
// or has a oneof tag.
func stringProblem(s string, tag reflect.StructTag) string {
	if allowed, ok := tag.Lookup("oneof"); ok {
		for _, a := range strings.Split(allowed, "|") {
			if s == a {
				return ""
			}
		}
		return "one of " + strings.ReplaceAll(allowed, "|", ", ")
	}
	if s == "" && tag.Get("required") == "" {
		return ""
	}
	switch tag.Get("format") {
	case "name":
		if !namePattern.MatchString(s) {
			return nameRule
		}
	case "address":
		if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
			return addressRule
		}
	case "sha256":
		if b, err := hex.DecodeString(s); err != nil || len(b) != 32 {
			return digestRule
		}
	default:
		if s == "" {
			return "a string that is not empty"
		}
	}
	return ""
}

// describe formats a value for Problem.Found. The value of a field with a secret tag is not shown,
// because the text is written to logs.
func describe(v any, tag reflect.StructTag) string {
	const maxShownBytes = 80
	if tag.Get("secret") != "" {
		return "a secret value (not shown)"
	}
	switch x := v.(type) {
	case string:
		if len(x) > maxShownBytes {
			return fmt.Sprintf("a string of %d bytes", len(x))
		}
		return strconv.Quote(x)
	case Table:
		return "a table"
	case []Table, []any:
		return "a list"
	}
	return fmt.Sprint(v)
}
