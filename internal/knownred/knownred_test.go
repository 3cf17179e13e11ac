package knownred_test

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/knownred"
)

func TestKnownRed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "knownred")
}

const (
	specs = "./testdata/specs"
	plain = "./testdata/plain"
)

func entry(pkg, test string) knownred.Entry {
	return knownred.Entry{Package: pkg, Test: test, Command: "go test", Seen: "it fails", Issue: "1"}
}

func runSample(entries []knownred.Entry, packages ...string) (passed bool, printed string, err error) {
	GinkgoHelper()
	var out bytes.Buffer
	r := &knownred.Runner{Flags: []string{"-count=1"}, Out: &out}
	passed, err = r.Run(context.Background(), entries, packages...)
	return passed, out.String(), err
}

var _ = Describe("a run of tests", func() {
	listed := []knownred.Entry{entry(specs, "a sample (of specs) fails"), entry(plain, "TestFails")}

	It("fails while a test fails that is not listed", func() {
		passed, _, err := runSample(nil, specs, plain)
		Expect(err).NotTo(HaveOccurred())
		Expect(passed).To(BeFalse())
	})

	It("skips only the listed tests, runs them last and prints them", func() {
		passed, printed, err := runSample(listed, specs, plain)
		Expect(err).NotTo(HaveOccurred())
		Expect(passed).To(BeTrue(), printed)
		Expect(printed).To(ContainSubstring("known red, not deciding: " + listed[0].String()))
		Expect(printed).To(ContainSubstring("known red, not deciding: " + listed[1].String()))
		Expect(strings.Count(printed, "known red, passed this time: false")).To(Equal(2))
	})

	// A Ginkgo suite is a single Go test. If an entry excluded the whole suite from the verdict, or
	// every spec whose text begins with the same words, new faults in the other specs would stay
	// unnoticed.
	It("fails if another spec of the same suite fails", func() {
		DeferCleanup(os.Unsetenv, "SAMPLE_FAILS")
		for _, other := range []string{"yes", "other"} {
			Expect(os.Setenv("SAMPLE_FAILS", other)).To(Succeed())
			passed, _, err := runSample(listed, specs, plain)
			Expect(err).NotTo(HaveOccurred())
			Expect(passed).To(BeFalse())
		}
	})

	// The test of an entry was renamed or its name is misspelled. The entry then skips nothing, and
	// would stay on the list for ever, although it is unknown whether its fault persists.
	It("is refused if an entry names a test that does not exist", func() {
		for _, e := range []knownred.Entry{entry(specs, "a sample (of specs) is not there"), entry(plain, "TestNotThere")} {
			_, _, err := runSample(append(listed, e), specs, plain)
			Expect(err).To(MatchError(ContainSubstring("has no test")))
		}
	})

	It("is refused if an entry names a package that does not exist", func() {
		_, _, err := runSample([]knownred.Entry{entry("./testdata/nothing", "TestFails")}, specs)
		Expect(err).To(HaveOccurred())
	})

	It("does not run listed tests of packages that were not requested", func() {
		passed, printed, err := runSample(listed[:1], plain)
		Expect(err).NotTo(HaveOccurred())
		Expect(passed).To(BeFalse())
		Expect(printed).NotTo(ContainSubstring("known red"))
	})
})

var _ = Describe("a list", func() {
	It("is read line by line", func() {
		entries, err := knownred.Parse(strings.NewReader("# a comment\n\n./tests: a spec | go test ./tests -ginkgo.seed=3 | 4 for 3 | 18\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(Equal([]knownred.Entry{{
			Package: "./tests", Test: "a spec", Command: "go test ./tests -ginkgo.seed=3", Seen: "4 for 3", Issue: "18",
		}}))
	})

	It("is refused if a part is missing", func() {
		for _, line := range []string{
			"./tests: a spec | go test | 4 for 3", "./tests: a spec | | 4 for 3 | 18", "a spec | go test | 4 for 3 | 18",
		} {
			_, err := knownred.Parse(strings.NewReader(line))
			Expect(err).To(MatchError(ContainSubstring("line 1")), line)
		}
	})
})
