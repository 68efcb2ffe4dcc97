package simprotocol

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"lockroad/balancer"
)

const sampleSettings = `{
	"Classes": [
		{"AimUs": 300000, "DeadlineUs": 1200000, "KeyScope": "all", "LateWorth": 0.0, "MemorySpanUs": 5000000,
		 "Name": "a", "Semantics": "idempotent", "Stream": true, "Worth": 1.5},
		{"AimUs": 400000, "DeadlineUs": 1300000, "KeyScope": "cell", "MemorySpanUs": 6000000,
		 "Name": "b", "Semantics": "deduplicated", "Worth": 2},
		{"AimUs": 1, "DeadlineUs": 2, "Name": "c", "Semantics": "at_most_once", "Worth": 0}],
	"Costs": {"CrossZone": 0.06, "Moves": 0.03},
	"Customers": [{"Name": "x", "QuotaPerS": 9.0, "Share": 0.53}, {"Name": "y", "Share": 0.47}],
	"Discovery": "ask",
	"Guarantees": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "ColdUs": 23000000, "DrainGraceUs": 1000000,
		"FallUs": 1500000, "StartCapacity": 0.13, "TipMultiple": 3.0},
	"Limits": {"ConnectTimeoutUs": 250000, "MaxRetryAfterUs": 1500000, "RetryAfter": true, "TryLimit": 3},
	"Me": 0, "NInstances": 2, "OverShareWorth": 0.1, "QuantumUs": 5000, "Zone": 1,
	"Specifics": {"TellsDelay": false, "MessageAimUs": [100000.0, 50000.0, 150000.0], "Mode": "pass",
		"TenantQuotaConnections": [203.0, 180.0]},
	"SomethingNew": {"deeper": [1, 2]}
}`

func TestSettingsAreParsed(t *testing.T) {
	got, err := ParseSettings([]byte(sampleSettings))
	if err != nil {
		t.Fatal(err)
	}
	const us = time.Microsecond
	want := balancer.Settings{
		Tenants: []string{"x", "y"},
		Classes: []balancer.Class{
			{Name: "a", LatencyObjective: 300000 * us, Deadline: 1200000 * us, MessageLatencyObjective: 100000 * us},
			{Name: "b", LatencyObjective: 400000 * us, Deadline: 1300000 * us, MessageLatencyObjective: 50000 * us,
				Semantics: balancer.Deduplicated, DeduplicationScope: balancer.ScopeCell, DeduplicationWindow: 6 * time.Second},
			{Name: "c", LatencyObjective: us, Deadline: 2 * us, Semantics: balancer.AtMostOnce, MessageLatencyObjective: 150000 * us},
		},
		RelayCount:        2,
		Zone:              1,
		PollList:          true,
		PollInterval:      10 * time.Second,
		MaxAttempts:       3,
		ClockResolution:   5 * time.Millisecond,
		ConnectTimeout:    250 * time.Millisecond,
		MaxRetryAfter:     1500 * time.Millisecond,
		InitialCapacity:   0.13,
		SlowStartDuration: 23 * time.Second,
		OverloadMultiple:  3, OverloadWindow: 1500 * time.Millisecond,
		CrossZoneCost: 0.06,
		ReportsLoad:   true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// sampleWithout returns the sample settings without the key at a path. A list on the path stands for its second
// element.
func sampleWithout(t *testing.T, path ...string) []byte {
	t.Helper()
	var values map[string]any
	if err := json.Unmarshal([]byte(sampleSettings), &values); err != nil {
		t.Fatal(err)
	}
	parent := values
	for _, key := range path[:len(path)-1] {
		if list, ok := parent[key].([]any); ok {
			parent = list[1].(map[string]any)
		} else {
			parent = parent[key].(map[string]any)
		}
	}
	delete(parent, path[len(path)-1])
	out, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestMissingRequiredKeysAreReported(t *testing.T) {
	for _, path := range [][]string{
		{"Classes"}, {"Classes", "AimUs"}, {"Classes", "DeadlineUs"}, {"Classes", "Semantics"},
		{"Classes", "KeyScope"}, {"Classes", "MemorySpanUs"},
		{"Discovery"}, {"NInstances"}, {"Zone"}, {"QuantumUs"},
		{"Limits"}, {"Limits", "TryLimit"}, {"Limits", "ConnectTimeoutUs"}, {"Limits", "MaxRetryAfterUs"},
		{"Guarantees"}, {"Guarantees", "AskEveryUs"}, {"Guarantees", "ColdUs"},
		{"Guarantees", "FallUs"}, {"Guarantees", "StartCapacity"},
		{"Guarantees", "TipMultiple"},
	} {
		key := path[len(path)-1]
		if _, err := ParseSettings(sampleWithout(t, path...)); err == nil || !strings.Contains(err.Error(), key+" is missing") {
			t.Errorf("without %v: error is %v, want one with %q", path, err, key+" is missing")
		}
	}
	for _, path := range [][]string{{"Costs"}, {"Specifics"}, {"Me"}} {
		if _, err := ParseSettings(sampleWithout(t, path...)); err != nil {
			t.Errorf("without %v: %v", path, err)
		}
	}
}

func TestMalformedSettingsAreRejected(t *testing.T) {
	for name, edit := range map[string][2]string{
		"unknown semantics": {`"at_most_once"`, `"sometimes"`},
		"unknown scope":     {`"cell"`, `"galaxy"`},
		"unknown discovery": {`"ask"`, `"gossip"`},
		"wrong type":        {`"NInstances": 2`, `"NInstances": "two"`},
		"no relay":          {`"NInstances": 2`, `"NInstances": 0`},
		"negative time":     {`"QuantumUs": 5000`, `"QuantumUs": -1`},
		"no list":           {`"Classes": [`, `"Classes": 7, "x": [`},
		"no object":         {sampleSettings, `[1]`},
		"no JSON":           {sampleSettings, `nonsense`},
	} {
		_, err := ParseSettings([]byte(strings.Replace(sampleSettings, edit[0], edit[1], 1)))
		if err == nil || !strings.HasPrefix(err.Error(), "settings") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error is %v, want one line that begins with settings", name, err)
		}
	}
}

// Guards against type errors that name Go types instead of JSON types, or do not name the key.
func TestTypeMismatchesAreReportedInJSONTypes(t *testing.T) {
	for _, c := range [][3]string{
		{`"NInstances": 2`, `"NInstances": "two"`, "NInstances has the wrong type: expected an integer, found a string"},
		{`"NInstances": 2`, `"NInstances": 2.5`, "NInstances has the wrong type: expected an integer, found the number 2.5"},
		{`"DeadlineUs": 1300000`, `"DeadlineUs": "long"`, "Classes[1].DeadlineUs has the wrong type: expected a number, found a string"},
		{`"Name": "y"`, `"Name": true`, "Customers[1].Name has the wrong type: expected a string, found a boolean"},
		{`"Classes": [`, `"Classes": 7, "x": [`, "Classes has the wrong type: expected an array, found a number"},
		{`"Limits": {`, `"Limits": [], "x": {`, "Limits has the wrong type: expected an object, found an array"},
		{sampleSettings, `[1]`, "settings are not a JSON object: expected an object, found an array"},
	} {
		_, err := ParseSettings([]byte(strings.Replace(sampleSettings, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error()+";", c[2]+";") || strings.Contains(err.Error(), "json: ") {
			t.Errorf("%s: got error %v, want %s", c[1], err, c[2])
		}
	}
}

// Guards against invalid values that are reported without their key or more than once.
func TestInvalidSettingsAreReportedWithTheirKey(t *testing.T) {
	for _, test := range [][3]string{
		{`"AskEveryUs": 10000000`, `"AskEveryUs": 0`, "settings: Guarantees.AskEveryUs must be greater than 0"},
		{`"MemorySpanUs": 6000000`, `"MemorySpanUs": 0`, "settings: Classes[1].MemorySpanUs must be greater than 0"},
		{`"DeadlineUs": 1300000`, `"DeadlineUs": 0`, "settings: Classes[1].DeadlineUs must be greater than 0"},
		{`"NInstances": 2`, `"NInstances": 0`, "settings: NInstances must be greater than 0"},
		{`"StartCapacity": 0.13`, `"StartCapacity": 1.3`, "settings: Guarantees.StartCapacity is 1.3, but must be greater than 0 and at most 1"},
		{`"TipMultiple": 3.0`, `"TipMultiple": -3`, "settings: Guarantees.TipMultiple must be greater than 0"},
		{`"FallUs": 1500000`, `"FallUs": 0`, "settings: Guarantees.FallUs must be greater than 0"},
		{`"TryLimit": 3`, `"TryLimit": 0`, "settings: Limits.TryLimit must be greater than 0"},
		{`"Share": 0.53`, `"Share": -0.53`, "settings: Customers[0].Share is -0.53, but must be between 0 and 1"},
		{`"Name": "y"`, `"Name": "x"`, `settings: Customers[1].Name "x" is already the name of another tenant`},
		{`"Name": "y"`, `"Name": ""`, "settings: Customers[1].Name is empty"},
		{`"CrossZone": 0.06`, `"CrossZone": -0.06`, "settings: Costs.CrossZone is -0.06, but must not be negative"},
		{`100000.0, 50000.0`, `100000.0, -50000.0`, "settings: Specifics.MessageAimUs[1] is -50000 microseconds, but must be between 0 and 1e15"},
	} {
		text := strings.Replace(sampleSettings, test[0], test[1], 1)
		if _, err := ParseSettings([]byte(text)); err == nil || err.Error() != test[2] {
			t.Errorf("%s: error is %v, want %s", test[1], err, test[2])
		}
	}
}
