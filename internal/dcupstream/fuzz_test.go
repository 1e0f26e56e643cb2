package dcupstream

import (
	"net/http"
	"testing"
)

// FuzzResponseHeaders guards against response headers that make a host panic,
// or that give a queue time below -1, the value for none.
func FuzzResponseHeaders(f *testing.F) {
	f.Add("queue;dur=1.5, run;dur=4", "1", "1")
	f.Add("queue;dur=NaN", "-1", "99999999999")
	f.Add("queue;dur=1e300,queue", "", "x")
	f.Add(";;;=,", "0", "0")
	f.Fuzz(func(t *testing.T, timing, epoch, attempt string) {
		header := http.Header{}
		header.Set(HeaderServerTiming, timing)
		header.Set(HeaderMapEpoch, epoch)
		header.Set(HeaderAttempt, attempt)
		readLabel(header, "s")
		if waited := queueTime(header); waited < -1 {
			t.Errorf("queue time of %q is %v", timing, waited)
		}
	})
}
