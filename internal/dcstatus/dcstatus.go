// Package dcstatus tells which HTTP statuses are final answers.
package dcstatus

// The range of final statuses (RFC 9110, section 15). A server in trouble may send
// others, which say nothing.
const (
	lowestFinal  = 200
	highestFinal = 599
)

// IsFinal reports whether a status may be that of a final answer. The request of any
// other one may have run, and its other statements are not to be believed.
func IsFinal(status int) bool { return status >= lowestFinal && status <= highestFinal }
