package routing_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/routing"
)

var _ = Describe("a routing table", func() {
	table := routing.NewTable(&routing.Configuration{
		Routes: []routing.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Backends: []routing.Backend{{Service: "s1", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "half", Host: "a.example", Prefix: "/x/", Backends: []routing.Backend{
				{Service: "s1", Weight: 75}, {Service: "s2", Weight: 25},
			}},
			{Name: "other", Host: "b.example", Prefix: "/only/"},
		},
		Services: map[string]*routing.Service{"s1": {Name: "s1"}, "s2": {Name: "s2"}},
	})

	DescribeTable("finds the route with the longest prefix of the host",
		func(host, path, route string) {
			r := table.Match(host, path)
			if route == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r).To(HaveField("Name", route))
		},
		Entry("longest", "a.example", "/x/y/z", "deep"),
		Entry("a prefix with a trailing slash does not match /x/yz", "a.example", "/x/yz", "half"),
		Entry("root", "a.example", "/q", "all"),
		Entry("host with a port and in mixed case", "A.example:8740", "/x/1", "half"),
		Entry("no route of this host", "b.example", "/x/1", ""),
		Entry("unknown host", "c.example", "/", ""),
	)

	It("splits requests by weight, and always sends a request to the same service", func() {
		half := table.Match("a.example", "/x/1")
		counts := map[string]int{}
		for i := range 4000 {
			id := fmt.Sprintf("request-%d", i)
			service := table.Choose(half, id)
			Expect(table.Choose(half, id)).To(BeIdenticalTo(service))
			counts[service.Name]++
		}
		Expect(counts["s1"]).To(BeNumerically("~", 3000, 150))
	})

	It("has no service for a route whose backends have no weight", func() {
		Expect(table.Choose(&routing.Route{Backends: []routing.Backend{{Service: "s1"}}}, "r")).To(BeNil())
	})

	It("ranks by the priority of the workspace first, then by that of the route", func() {
		urgent, plain := &routing.Route{Priority: 0}, &routing.Route{Priority: 2}
		first, second := &routing.Workspace{Ranked: true, Priority: 0}, &routing.Workspace{Ranked: true, Priority: 1}
		Expect(routing.Rank(plain, first)).To(BeNumerically("<", routing.Rank(urgent, second)))
		Expect(routing.Rank(urgent, first)).To(BeNumerically("<", routing.Rank(plain, first)))
	})
})
