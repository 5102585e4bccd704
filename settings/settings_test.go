package settings_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/settings"
)

func ExampleParse() {
	_, err := settings.Parse("entry.json", []byte(`{
  "Name": "entry-1",
  "Listen": "localhost:8610",
  "Replicas": [{"Name": "entry-1", "Address": "127.0.0.1:8610"}],
  "Entry": {"Listen": "127.0.0.1:8600", "Conections": 5},
}`))
	fmt.Println(err)
	// Output:
	// entry.json:3:13: Listen: not an IP address with a port: "localhost:8610" (allowed: such as "127.0.0.1:8600" or "[::1]:8600")
	// entry.json:5:41: Entry.Conections: unknown field; did you mean Connections?: "Conections" (allowed: Listen, Subset, Connections, BodyBytes)
}

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := settings.Parse("a.json", []byte(`{"Name":"s","Listen":"127.0.0.1:1","Replicas":[],
		"Sidecar":{"Engine":"127.0.0.1:2","Kind":"model","Services":["m"]}}`))
	require.NoError(t, err)
	require.Equal(t, settings.DefaultRunning, s.Sidecar.Running)
	require.Equal(t, settings.DefaultDrainTimeout, s.DrainTimeout)
}

func TestRolesAreChecked(t *testing.T) {
	_, err := settings.Parse("a.json", []byte(`{"Name":"s","Listen":"127.0.0.1:1","Replicas":[]}`))
	require.ErrorContains(t, err, "the process has no role")
	_, err = settings.Parse("a.json", []byte(`{"Name":"s","Listen":"127.0.0.1:1","Replicas":[],
		"Control":{"Folder":"x","Operators":"127.0.0.1:3"}}`))
	require.ErrorContains(t, err, "Replicas must list a process with the section Control")
	require.ErrorContains(t, err, "Control.TokenFile: required field is missing")
}
