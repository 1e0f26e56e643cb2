package dcstandin

import (
	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// ParseProfile parses a profile in strict YAML. The file name is used only in
// error messages.
func ParseProfile(file string, text []byte) (*standinv1.Profile, error) {
	profile := &standinv1.Profile{}
	if err := dcsettings.Parse(file, text, profile); err != nil {
		return nil, eris.Wrap(err, "parse stand-in profile")
	}
	return profile, nil
}
