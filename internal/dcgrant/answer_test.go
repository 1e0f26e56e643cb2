package dcgrant

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	hostv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/host/v1"

	"github.com/dandelioncart/dandelioncart/internal/dcdepartment"
	"github.com/dandelioncart/dandelioncart/internal/dcquota"
)

// TestGrantLimits guards against a host that runs as many requests, or for as long, as an
// answer of another host says, beyond what it has asked for.
func TestGrantLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const wanted = 3
	for granted, want := range map[int32]int{math.MinInt32: 0, -1: 0, 0: 0, 1: 1, wanted: wanted, math.MaxInt32: wanted} {
		quotas := &Quotas{}
		quotas.answeredAsk(&target{}, &ask{department: &dcdepartment.Department{Name: "bakery"}, wanted: wanted}, &hostv1.Grant{
			Department: "bakery", Granted: granted, ValidFor: durationpb.New(math.MaxInt64), RetryAfter: durationpb.New(math.MaxInt64),
		}, now, now)
		taken := 0
		for quotas.account.TakeHeld("bakery", now) {
			taken++
		}
		if taken != want {
			t.Errorf("%d granted: %d requests run, want %d", granted, taken, want)
		}
		quotas.account.Add("bakery", 1, now, math.MaxInt64)
		if quotas.account.TakeHeld("bakery", now.Add(dcquota.GrantTTL)) {
			t.Errorf("a grant is valid after %v", dcquota.GrantTTL)
		}
	}
}
