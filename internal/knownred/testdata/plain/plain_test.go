// Package plain has a Go test that fails, for tests of knownred.
package plain

import "testing"

func TestFails(t *testing.T) { t.Fatal("fails") }

func TestPasses(t *testing.T) { t.Log("passes") }
