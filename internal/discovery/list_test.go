package discovery

import (
	"testing"

	"lockroad/internal/testutil"
)

// Lists are exchanged between processes of different versions and stored, so their encoding must not change.
func TestListKeepsItsEncoding(t *testing.T) {
	complete := List{Revision: 0xfedcba9876543210, Complete: true, Members: []Member{{
		ID: "s-5be2a07c", HostPort: "127.0.0.1:8001", Locality: "east", Flavor: "large", Cell: 3, Phase: "draining", Size: 1.5, UpSince: 1786000000123,
	}}}
	testutil.RequireComplete(t, complete)
	testutil.GoldenJSON(t, "testdata/list.json", complete)
	testutil.GoldenJSON(t, "testdata/list-zero.json", List{})
}

func TestListFieldsAreTagged(t *testing.T) { testutil.RequireTags(t, []string{"json"}, List{}) }
