package config

import (
	"fmt"
	"strconv"
	"strings"
)

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

func formatList(names []string) string {
	if len(names) == 0 {
		return "(there are none)"
	}
	return strings.Join(names, ", ")
}

func itoa(n int) string { return strconv.Itoa(n) }

// formatValue formats a TOML value. Strings and lists are formatted as in TOML.
func formatValue(v any) string {
	switch x := v.(type) {
	case string:
		return strconv.Quote(x)
	case []any:
		items := make([]string, len(x))
		for i, item := range x {
			items[i] = formatValue(item)
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	return fmt.Sprint(v)
}
