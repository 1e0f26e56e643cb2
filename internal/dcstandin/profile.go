package dcstandin

import (
	"github.com/rotisserie/eris"

	"github.com/dandelioncart/dandelioncart/internal/dcsettings"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// ParseProfile reads a profile in strict YAML; the file is only a name for
// error messages.
func ParseProfile(file string, text []byte) (*standinv1.Profile, error) {
	profile := &standinv1.Profile{}
	if err := dcsettings.Parse(file, text, profile); err != nil {
		return nil, eris.Wrap(err, "parse stand-in profile")
	}
	return profile, nil
}
