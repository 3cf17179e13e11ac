package tests

import (
	"context"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// rowInput is a read of a row or a conditional write to it.
type rowInput struct {
	key string
	// write is set for a commit, which is conditional on the row's version being expected.
	write    bool
	expected int64
	value    string
}

// rowOutput is the result of a rowInput. After an applied commit, version is the new version of the
// row.
type rowOutput struct {
	applied bool
	version int64
	value   string
}

type rowState struct {
	version int64
	value   string
}

// rowModel models a row that changes by compare-and-set on its version. Versions number the
// transactions of the whole store, so the versions of one row increase with gaps.
var rowModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(rowInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return rowState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(rowState), input.(rowInput), output.(rowOutput)
		if !in.write {
			return out.version == s.version && out.value == s.value, s
		}
		if !out.applied {
			return in.expected != s.version, s
		}
		rises := out.version > s.version
		return in.expected == s.version && rises, rowState{version: out.version, value: in.value}
	},
}

// expectLinearizable checks that the platform's history of the run records is linearizable: the
// reads and writes of each record must be consistent with some sequential order.
func expectLinearizable(ctx context.Context, r *rig.Rig) {
	GinkgoHelper()
	history, err := r.Platform.Admin.History(ctx)
	Expect(err).NotTo(HaveOccurred())
	var ops []porcupine.Operation
	for i, op := range history {
		ops = append(ops, runRecordOperations(i, op)...)
	}
	Expect(ops).NotTo(BeEmpty())
	Expect(porcupine.CheckOperationsTimeout(rowModel, ops, 20*time.Second)).To(Equal(porcupine.Ok))
}

func runRecordOperations(client int, op admin.Operation) []porcupine.Operation {
	var ops []porcupine.Operation
	add := func(in rowInput, out rowOutput) {
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: op.InvokedNS, Return: op.ReturnedNS})
	}
	switch {
	case op.Kind == "get" && len(op.Rows) == 1 && op.Rows[0].Table == "runs":
		row := op.Rows[0]
		add(rowInput{key: row.Key}, rowOutput{version: row.Version, value: string(row.Value)})
	case op.Kind == "commit" && op.Txn != nil && len(op.Txn.Writes) == 1 && op.Txn.Writes[0].Table == "runs":
		w, c := op.Txn.Writes[0], op.Txn.Conditions[0]
		out := rowOutput{applied: op.Applied}
		if op.Applied {
			out.version = op.Rows[0].Version
		}
		add(rowInput{key: w.Key, write: true, expected: c.Version, value: string(w.Value)}, out)
	}
	return ops
}
