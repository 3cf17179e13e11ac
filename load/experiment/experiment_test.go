package experiment_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/load"
	"github.com/crocusreel/crocusreel/load/experiment"
)

// run returns a finished run that has only the metrics used in these tests.
func run(mix, family, name string, seed uint64, goodput, preemptions, stall float64) experiment.Run {
	return experiment.Run{
		Mix: mix, Load: experiment.HighLoad, Seed: seed,
		Setting: experiment.Setting{Name: name, Family: family},
		Report: &load.Report{
			Requests: 10, Whole: 10, Goodput: goodput, PreemptionsPer1000: preemptions, StallMeanMS: stall,
			BetweenTokens: load.Quantiles{P99: stall},
		},
	}
}

func results() *experiment.Results {
	r := &experiment.Results{
		Plan:         experiment.Quick(),
		Calibrations: []experiment.Calibration{{Mix: "schronisko", Capacity: 100}},
	}
	for seed, noise := range []float64{-1, 0, 1} {
		add := func(family, name string, goodput, preemptions, stall float64) {
			r.Runs = append(r.Runs, run("schronisko", family, name, uint64(seed), goodput+noise, preemptions+noise, stall+noise))
		}
		add(experiment.FamilyRoundRobin, experiment.FamilyRoundRobin, 90, 100, 50)
		add(experiment.FamilyWatermark, "watermark 0.50", 60, 1, 1)
		add(experiment.FamilyWatermark, "watermark 0.70", 93, 40, 20)
		add(experiment.FamilyWatermark, "watermark 0.90", 95, 80, 40)
		add(experiment.FamilyReservation, experiment.FamilyReservation, 92, 8, 15)
	}
	return r
}

func aim(aims []experiment.Aim, text string) experiment.Aim {
	GinkgoHelper()
	for _, a := range aims {
		if strings.HasPrefix(a.Text, text) {
			return a
		}
	}
	Fail("no aim " + text)
	return experiment.Aim{}
}

var _ = Describe("Results", func() {
	It("compare the medians over seeds with the bound of each aim", func() {
		aims := results().Aims()
		preemptions := aim(aims, "preemptions against round robin")
		Expect(preemptions.Ratio).To(BeNumerically("~", 0.08))
		Expect(preemptions.Reached).To(BeTrue())
		stall := aim(aims, "stall mean against round robin")
		Expect(stall.Ratio).To(BeNumerically("~", 0.3))
		Expect(stall.Reached).To(BeFalse())
	})

	It("compare with the best watermark at equal goodput", func() {
		a := aim(results().Aims(), "stall mean against the best watermark")
		Expect(a.Text).To(HaveSuffix("watermark 0.70"))
		Expect(a.Other).To(BeNumerically("==", 20))
	})

	It("render as tables and plots", func() {
		r := results()
		Expect(r.Markdown()).To(ContainSubstring("| watermark 0.70 | 93 (92..94) | 40.0 (39.0..41.0) |"))
		dir := GinkgoT().TempDir()
		files, err := r.WritePlots(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(ContainElement("schronisko-preemptions.png"))
		for _, f := range files {
			info, err := os.Stat(filepath.Join(dir, f))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Size()).To(BeNumerically(">", 1000))
		}
	})
})

var _ = Describe("Plan", func() {
	It("keeps only the selected families, loads and seeds", func() {
		p := experiment.Full().WithFamilies([]string{experiment.FamilyReservation}).WithLoads([]float64{2.0}).WithSeeds(2)
		Expect(p.Series).To(HaveLen(1))
		Expect(p.Series[0].Settings).To(HaveLen(1))
		Expect(p.Series[0].Loads).To(Equal([]float64{2.0}))
		Expect(p.Series[0].Seeds).To(Equal([]uint64{1, 2}))
	})
})
