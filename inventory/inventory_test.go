package inventory_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/inventory"
)

func ExampleParse() {
	_, err := inventory.Parse("quebec.json", []byte(`{
  "Models": [{"Name": "matching", "Services": ["chat"]}],
  "Groups": [{"Name": "east", "Model": "matchin", "Ranks": 8, "Experts": 32, "Layers": 58, "SpareSlots": 2}],
  "Upstreams": [
    {"Name": "levis-1", "FailureDomain": "levis", "Services": ["matching", "ledger"], "Group": "east"},
    {"Name": "levis-1", "FailureDomain": "levis", "Group": "west", "ChecksFence": true},
  ],
  "Services": [{"Name": "ledger", "Routes": [{"Path": "/ledger/"}, {"Path": "/v1/models"}]}],
  "Rules": {"RetentionHours": 2, "SkewWeight": -1},
}`))
	fmt.Println(err)
	// Output:
	// quebec.json:3:40: Groups[0].Model: no such model; did you mean "matching"?: "matchin" (allowed: matching)
	// quebec.json:6:14: Upstreams[1].Name: duplicate name, also used by Upstreams[0]: "levis-1" (allowed: a unique name)
	// quebec.json:6:60: Upstreams[1].Group: no such group; did you mean "east"?: "west" (allowed: east)
	// quebec.json:6:68: Upstreams[1].ChecksFence: unknown field; did you mean ChecksFencing?: "ChecksFence" (allowed: Name, Owner, FailureDomain, Services, Group, ChecksFencing, AnswersReference)
	// quebec.json:8:77: Services[0].Routes[1].Path: path is reserved for the entry: "/v1/models" (allowed: paths outside /v1/, /healthz, /readyz, /metrics)
	// quebec.json:9:31: Rules.RetentionHours: value too small: 2 (allowed: at least 24)
	// quebec.json:9:48: Rules.SkewWeight: value too small: -1 (allowed: at least 0)
}

func TestSampleInventoriesAreValid(t *testing.T) {
	for _, file := range []string{"testdata/laurentides.json", "testdata/tuulai.json"} {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = inventory.Parse(file, data)
		require.NoError(t, err)
	}
}

func TestRouteIsTheLongestDeclaredPath(t *testing.T) {
	i, err := inventory.Parse("a", []byte(`{"Services":[
		{"Name":"ledger","Routes":[{"Path":"/ledger/"},{"Path":"/ledger/status","Method":"GET","Repeatable":true}]},
		{"Name":"booking","Routes":[{"Path":"/ledger/book/"}]}]}`))
	require.NoError(t, err)
	for request, want := range map[string]string{
		"GET /ledger/status": "ledger true", "POST /ledger/status": "ledger false", "GET /ledger/a/b": "ledger false",
		"PUT /ledger/book/7": "booking false", "GET /other": " false", "GET /": " false",
	} {
		method, path, _ := strings.Cut(request, " ")
		service, route, _ := i.Route(method, path)
		require.Equal(t, want, fmt.Sprintf("%s %v", service.Name, route.Repeatable), request)
	}
}

func TestEveryProblemIsFound(t *testing.T) {
	for text, want := range map[string]string{
		`{"Organisations":[{"Name":"a b"}]}`:                                                                            "malformed name",
		`{"Organisations":[{"Name":"a","Weight":0}]}`:                                                                   "value too small",
		`{"Services":[{"Name":"a","Routes":[{"Path":"x"}]}]}`:                                                           "malformed path",
		`{"Services":[{"Name":"a","Routes":[{"Path":"/a?b"}]}]}`:                                                        "malformed path",
		`{"Services":[{"Name":"a","Routes":[{"Path":"/"},{"Path":"/"}]}]}`:                                              "duplicate route",
		`{"Models":[{"Name":"a"}],"Services":[{"Name":"a","Routes":[]}]}`:                                               "name is already used by a model",
		`{"Rules":{"DefaultDeadline":"2m","MaxDeadline":"1m"}}`:                                                         "longer than MaxDeadline",
		`{"Groups":[{"Name":"g","Model":"m","Ranks":0,"Experts":1,"Layers":1}]}`:                                        "value too small",
		`{"Models":[{"Name":"m"}],"Groups":[{"Name":"g","Model":"m","Ranks":1,"Experts":1,"Layers":1,"SpareSlots":2}]}`: "more spare slots",
		`{"Models":[{"Name":"m"}],"Upstreams":[{"Name":"u","FailureDomain":"d","Services":["m","m"]}]}`:                 "duplicate service",
		`{`: "a:1:2",
	} {
		_, err := inventory.Parse("a", []byte(text))
		require.ErrorContains(t, err, want, text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Upstreams":[{"Name":"a","Services":["b"],"Group":""}],"Services":[{"Name":"b","Routes":[{"Path":"/"}]}]}`))
	f.Add([]byte(`{"Groups":[{"Name":"g","Model":null}],"Rules":{"DefaultDeadline":"1s"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		i, err := inventory.Parse("a", data)
		if err == nil {
			i.Route("GET", "/a/b")
			require.GreaterOrEqual(t, i.Rules.RetentionHours, 24)
		}
	})
}
