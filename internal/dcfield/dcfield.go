// Package dcfield reads the values of header fields that come from outside.
package dcfield

import (
	"math"
	"strconv"
)

// maxNumberLength is the maximum length of a number as text.
const maxNumberLength = 32

// Presence tells whether a field holds a usable value.
type Presence uint8

// Presences of a field.
const (
	// Absent means that the field is not set.
	Absent Presence = iota
	// Valid means that the field holds one value of the expected form.
	Valid
	// Malformed means that the field holds anything else.
	Malformed
)

// Decimal reads the values of a field that holds a finite decimal number that is
// not negative, with at most maxNumberLength characters. Several values must all
// be the same number.
func Decimal(values []string) (number float64, presence Presence) {
	if len(values) == 0 {
		return 0, Absent
	}
	for i, value := range values {
		parsed, ok := parseDecimal(value)
		if !ok || i > 0 && parsed != number {
			return 0, Malformed
		}
		number = parsed
	}
	return number, Valid
}

func parseDecimal(text string) (float64, bool) {
	if text == "" || len(text) > maxNumberLength {
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
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.Signbit(number) {
		return 0, false
	}
	return number, true
}
