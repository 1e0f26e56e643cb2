package dcratelimit

import "github.com/dandelioncart/dandelioncart/internal/dcfield"

// Kind is what an answer says of the limit of its server.
type Kind uint8

// Kinds of statements.
const (
	// Unknown means that nothing is known, because no answer was read.
	Unknown Kind = iota
	// Absent means that the answer names no limit.
	Absent
	// Named means that the answer names a limit.
	Named
	// Malformed means that the value is not a limit. The limit that was known before
	// stays in force.
	Malformed
)

// Statement is what an answer says of the limit of its server.
type Statement struct {
	Kind Kind
	// Rate is the limit for all hosts together, set if Kind is Named.
	Rate Rate
}

// ParseStatement reads the values of the field that names a limit, a decimal
// number as dcfield.Decimal reads it.
func ParseStatement(values []string) Statement {
	rate, presence := dcfield.Decimal(values)
	switch presence {
	case dcfield.Absent:
		return Statement{Kind: Absent}
	case dcfield.Valid:
		return Statement{Kind: Named, Rate: Rate(rate)}
	}
	return Statement{Kind: Malformed}
}
