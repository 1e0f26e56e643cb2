package dcstandin_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the tests if goroutines outlive them.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
