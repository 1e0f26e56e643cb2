package dcstandin

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"

	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// ParseProfile reads a profile in YAML. Field names and durations are those of
// the JSON form of the schema: kebab-case, and seconds such as 0.006s. Unknown
// fields are errors.
func ParseProfile(text []byte) (profile *standinv1.Profile, err error) {
	defer func() { err = eris.Wrap(err, "parse stand-in profile") }()
	var document map[string]any
	if err := yaml.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	profile = &standinv1.Profile{}
	if err := protojson.Unmarshal(encoded, profile); err != nil {
		return nil, err
	}
	return profile, nil
}
