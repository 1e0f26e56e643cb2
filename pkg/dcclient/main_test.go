package dcclient_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that are still running after the tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
