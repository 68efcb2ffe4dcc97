package proxy

import (
	"encoding/json"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// completeEstablishedRequest returns an EstablishedRequest with all fields set.
func completeEstablishedRequest() EstablishedRequest {
	return EstablishedRequest{
		Frontend: "line", Name: "9b1f03aa5c7e2d41", Class: "page", Tenant: "cedar", Endpoint: "s-5be2a07c",
		Item: 0xfedcba9876543210, Group: 0x123456789abcdef1, Load: 0.0078125, Returning: true, UnansweredSince: 1234567890 * time.Nanosecond,
		FrontendState: json.RawMessage(`{"Mid":true,"Up":{"Text":"TiA3IHc="},"Down":{"Long":true}}`),
	}
}

func TestEstablishedRequestEncodingIsStable(t *testing.T) {
	testutil.RequireComplete(t, completeEstablishedRequest())
	testutil.GoldenJSON(t, "testdata/established.json", completeEstablishedRequest())
	testutil.GoldenJSON(t, "testdata/established-zero.json", EstablishedRequest{FrontendState: json.RawMessage("{}")})
}

func TestEstablishedRequestFieldsAreTagged(t *testing.T) {
	testutil.RequireTags(t, []string{"json"}, EstablishedRequest{})
}
