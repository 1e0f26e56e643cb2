package dcstore_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a test.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
