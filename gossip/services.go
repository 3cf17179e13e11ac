package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// ServiceKey identifies a service in messages between nodes, by a hash of its name.
type ServiceKey uint32

// KeyOf returns the key of the service with the given name.
func KeyOf(service string) ServiceKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return ServiceKey(h.Sum32())
}

// serviceKeyBytes is the encoded size of a ServiceKey in bytes.
const serviceKeyBytes = 4

// ServiceSet is an immutable set of services. Equal sets compare equal. The zero value is empty.
type ServiceSet string

// NewServiceSet returns the set of the services with the given keys.
func NewServiceSet(keys []uint32) ServiceSet {
	sorted := slices.Compact(slices.Sorted(slices.Values(keys)))
	encoded := make([]byte, 0, serviceKeyBytes*len(sorted))
	for _, k := range sorted {
		encoded = binary.BigEndian.AppendUint32(encoded, k)
	}
	return ServiceSet(encoded)
}

// Len returns the number of services in the set.
func (s ServiceSet) Len() int { return len(s) / serviceKeyBytes }

// Has reports whether the set contains the service.
func (s ServiceSet) Has(key ServiceKey) bool {
	for k := range s.All {
		if k == key {
			return true
		}
	}
	return false
}

// HasAny reports whether the set contains any service of others.
func (s ServiceSet) HasAny(others map[ServiceKey]bool) bool {
	for k := range s.All {
		if others[k] {
			return true
		}
	}
	return false
}

// All calls yield for each service of the set until it returns false.
func (s ServiceSet) All(yield func(ServiceKey) bool) {
	for i := 0; i+serviceKeyBytes <= len(s); i += serviceKeyBytes {
		if !yield(ServiceKey(binary.BigEndian.Uint32([]byte(s[i : i+serviceKeyBytes])))) {
			return
		}
	}
}
