package dccommand

import (
	"os"
	"path/filepath"
	"testing"
)

// TestResolveCredential guards against sending the credential of one department
// for another, and against a file that overrides a flag.
func TestResolveCredential(t *testing.T) {
	file := filepath.Join(t.TempDir(), "credential")
	if err := os.WriteFile(file, []byte("kitchen:from:file\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		target                 Target
		department, credential string
	}{
		{Target{CredentialFile: file}, "kitchen", "from:file"},
		{Target{CredentialFile: file, Department: "kitchen"}, "kitchen", "from:file"},
		{Target{CredentialFile: file, Credential: "flag"}, "kitchen", "flag"},
		{Target{CredentialFile: file, Department: "mills"}, "", ""},
		{Target{Department: "mills", Credential: "flag"}, "mills", "flag"},
		{Target{Department: "mills"}, "", ""},
		{Target{CredentialFile: file + ".none"}, "", ""},
	}
	for i, c := range cases {
		department, credential, err := c.target.resolveCredential()
		if department != c.department || credential != c.credential || (err != nil) != (c.department == "") {
			t.Errorf("case %d: got %q %q %v", i, department, credential, err)
		}
	}
}
