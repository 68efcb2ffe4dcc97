package discovery

import (
	"testing"

	"lockroad/internal/steps"
)

// The list goes to a relay's next process, and to its store, under the names that discovery gives it.
func TestListKeepsItsEncoding(t *testing.T) {
	whole := List{Revision: 0xfedcba9876543210, Complete: true, Members: []Member{{
		ID: "s-5be2a07c", HostPort: "127.0.0.1:8001", Locality: "east", Flavor: "large", Cell: 3, Phase: "draining", Size: 1.5, UpSince: 1786000000123,
	}}}
	steps.Complete(t, whole)
	steps.GoldenJSON(t, "testdata/list.json", whole)
	steps.GoldenJSON(t, "testdata/list-zero.json", List{})
}

func TestListFieldsAreTagged(t *testing.T) { steps.Tagged(t, []string{"json"}, List{}) }
