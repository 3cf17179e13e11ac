package config

import (
	"strings"
)

// check reports mistakes that involve more than one key: references to names that do not exist, and
// settings that contradict each other.
func check(file string, c *Config, problems *Problems) {
	k := checker{file: file, c: c, problems: problems}
	k.weights()
	k.workspaces()
	k.endpoints()
	k.replicas()
	k.routes()
}

type checker struct {
	file     string
	c        *Config
	problems *Problems
}

func (k checker) add(key, found, allowed string) { k.problems.Add(k.file, key, found, allowed) }

func (k checker) weights() {
	if k.c.Weights.Stall == 0 && k.c.Weights.Preemption == 0 {
		k.add("weights", "0 for both stall and preemption", "one of them above 0")
	}
}

func (k checker) modelNames() []string {
	names := make([]string, len(k.c.Models))
	for i, m := range k.c.Models {
		names[i] = m.Name
	}
	return names
}

func (k checker) checkModelNames(key string, used []string) {
	known := k.modelNames()
	for _, m := range used {
		if !contains(known, m) {
			k.add(key+".models", m, formatList(known))
		}
	}
}

func (k checker) workspaces() {
	owner := make(map[string]string)
	for _, w := range k.c.Workspaces {
		key := "workspaces[" + w.Name + "]"
		k.checkModelNames(key, w.Models)
		for _, digest := range w.KeySHA256 {
			if first, taken := owner[digest]; taken {
				k.add(key+".key_sha256", "a key that workspace "+first+" has too", "keys of its own")
				continue
			}
			owner[digest] = w.Name
		}
	}
}

func (k checker) endpoints() {
	owner := make(map[string]string)
	regionOf := make(map[string]string)
	for _, e := range k.c.Endpoints {
		key := "endpoints[" + e.Name + "]"
		k.checkModelNames(key, e.Models)
		if e.Kind == KindService && len(e.Models) > 0 {
			k.add(key+".models", formatList(e.Models), "none for an endpoint of kind service")
		}
		if first, taken := owner[e.Address]; taken && e.Address != "" {
			k.add(key+".address", e.Address+", which endpoint "+first+" has too", "an address of its own")
		}
		owner[e.Address] = e.Name
		known := k.c.Service.DataCentres
		if len(known) > 0 && e.DataCentre != "" && !contains(known, e.DataCentre) {
			k.add(key+".data_centre", e.DataCentre, formatList(known))
		}
		if first, seen := regionOf[e.DataCentre]; seen && first != e.Region {
			k.add(key+".region", e.Region, first+", as for the other endpoints of data centre "+e.DataCentre)
			continue
		}
		regionOf[e.DataCentre] = e.Region
	}
}

// replicas checks that each region that has a model on any engine has it on at least min_replicas
// engines. With fewer engines min_replicas could never be met, and no unload would ever be allowed.
func (k checker) replicas() {
	holders := make(map[string]map[string]int)
	for _, e := range k.c.Endpoints {
		for _, m := range e.Models {
			if holders[m] == nil {
				holders[m] = make(map[string]int)
			}
			holders[m][e.Region]++
		}
	}
	for _, m := range k.c.Models {
		for region, n := range holders[m.Name] {
			if n < m.MinReplicas {
				k.add("models["+m.Name+"].min_replicas", itoa(m.MinReplicas),
					"at most "+itoa(n)+", the engines of region "+region+" with this model")
			}
		}
	}
}

func (k checker) routes() {
	services := make(map[string]bool)
	var names []string
	for _, e := range k.c.Endpoints {
		if e.Kind == KindService {
			services[e.Name] = true
			names = append(names, e.Name)
		}
	}
	owner := make(map[string]string)
	for _, r := range k.c.Routes {
		key := "routes[" + r.Name + "]"
		if r.Prefix != "" && (!strings.HasPrefix(r.Prefix, "/") || r.Prefix == "/" || strings.HasSuffix(r.Prefix, "/")) {
			k.add(key+".prefix", r.Prefix, `a path that begins with "/" and does not end with it`)
		}
		if first, taken := owner[r.Prefix]; taken {
			k.add(key+".prefix", r.Prefix+", which route "+first+" has too", "a prefix of its own")
		}
		owner[r.Prefix] = r.Name
		for _, e := range r.Endpoints {
			if !services[e] {
				k.add(key+".endpoints", e, "endpoints of kind service: "+formatList(names))
			}
		}
	}
}
