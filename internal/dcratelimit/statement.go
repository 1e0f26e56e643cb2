package dcratelimit

import (
	"math"
	"strconv"
)

// maxRateDigits is the maximum length of a limit as text.
const maxRateDigits = 32

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

// ParseStatement reads the values of the field that names a limit. A limit is a
// finite decimal number that is not negative, with at most maxRateDigits
// characters; several values must all be the same number.
func ParseStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{Kind: Absent}
	}
	statement := Statement{Kind: Named}
	for i, value := range values {
		rate, ok := parseRate(value)
		if !ok || i > 0 && rate != statement.Rate {
			return Statement{Kind: Malformed}
		}
		statement.Rate = rate
	}
	return statement
}

func parseRate(text string) (Rate, bool) {
	if text == "" || len(text) > maxRateDigits {
		return 0, false
	}
	for _, character := range []byte(text) {
		switch {
		case character >= '0' && character <= '9', character == '.', character == 'e', character == 'E', character == '+', character == '-':
		default:
			// Excludes what ParseFloat accepts besides decimal numbers: hexadecimal
			// ones, underscores, infinities and NaN.
			return 0, false
		}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.Signbit(rate) {
		return 0, false
	}
	return Rate(rate), true
}
