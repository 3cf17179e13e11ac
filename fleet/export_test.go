package fleet

// LongLine returns the key of the line of a service's long answers.
func LongLine(service string) LineKey { return line{service: service}.key() }
