package explain

import "time"

// Explanation explains what happened to one request and why. It is written as JSON for operators and as CBOR to the
// store, so the names in the tags must not change. Fields whose names end in MS are times in milliseconds.
type Explanation struct {
	Number        uint64          `cbor:"number" json:"number"`
	Frontend      string          `cbor:"front" json:"front"`
	Name          string          `cbor:"name" json:"name"`
	NameTruncated bool            `cbor:"name_cut,omitempty" json:"name_cut,omitempty"`
	Class         string          `cbor:"class" json:"class"`
	Tenant        string          `cbor:"tenant,omitempty" json:"tenant,omitempty"`
	Group         string          `cbor:"group,omitempty" json:"group,omitempty"`
	Flow          string          `cbor:"flow,omitempty" json:"flow,omitempty"`
	ReceivedAt    time.Time       `cbor:"came" json:"came"`
	TimeLimitMS   float64         `cbor:"patience_ms" json:"patience_ms"`
	ExpectedLoad  float64         `cbor:"load_us,omitempty" json:"load_us,omitempty"` // in microseconds of work per second
	Returning     bool            `cbor:"return,omitempty" json:"return,omitempty"`
	Pinned        bool            `cbor:"pinned,omitempty" json:"pinned,omitempty"`
	Notable       bool            `cbor:"eventful,omitempty" json:"eventful,omitempty"`
	HeadEvicted   bool            `cbor:"first_steps_gone,omitempty" json:"first_steps_gone,omitempty"`
	EventsOmitted bool            `cbor:"steps_left_out,omitempty" json:"steps_left_out,omitempty"`
	Result        string          `cbor:"answer" json:"answer"`
	Cause         string          `cbor:"cause,omitempty" json:"cause,omitempty"`
	RetryAfterMS  float64         `cbor:"come_back_ms,omitempty" json:"come_back_ms,omitempty"`
	Events        []Event         `cbor:"steps" json:"steps"`
	Before        *RelatedRequest `cbor:"before,omitempty" json:"before,omitempty"` // previous request of the client
	After         *RelatedRequest `cbor:"after,omitempty" json:"after,omitempty"`   // next request of the client

	age time.Duration // since the request was received
}

// Event is one event in the life of a request.
type Event struct {
	AfterMS        float64              `cbor:"after_ms" json:"after_ms"` // since the request was received
	Kind           string               `cbor:"what" json:"what"`         // sent, held, refused, failed, moved, pass, outcome, up or end
	Reason         string               `cbor:"reason,omitempty" json:"reason,omitempty"`
	Attempt        int                  `cbor:"attempt,omitempty" json:"attempt,omitempty"`
	Endpoint       string               `cbor:"server,omitempty" json:"server,omitempty"`
	Outcome        string               `cbor:"outcome,omitempty" json:"outcome,omitempty"`
	WaitMS         float64              `cbor:"wait_ms,omitempty" json:"wait_ms,omitempty"`
	TimeLeftMS     float64              `cbor:"left_ms,omitempty" json:"left_ms,omitempty"`
	Repeats        int                  `cbor:"again,omitempty" json:"again,omitempty"`
	ReadyEndpoints int                  `cbor:"ready_servers,omitempty" json:"ready_servers,omitempty"`
	SlowShare      float64              `cbor:"slow_part,omitempty" json:"slow_part,omitempty"`
	Revision       uint64               `cbor:"list_revision,omitempty" json:"list_revision,omitempty"`
	ListAgeMS      *float64             `cbor:"list_age_ms,omitempty" json:"list_age_ms,omitempty"`
	Considered     []ConsideredEndpoint `cbor:"believed,omitempty" json:"believed,omitempty"`
	Preferred      string               `cbor:"instead,omitempty" json:"instead,omitempty"` // endpoint that would have been selected without its exclusions
	Text           string               `cbor:"text" json:"text"`
}

// ConsideredEndpoint is an endpoint as the balancer saw it at the time of a decision.
type ConsideredEndpoint struct {
	Endpoint    string   `cbor:"server" json:"server"`
	State       string   `cbor:"state" json:"state"`
	Exclusions  []string `cbor:"bars,omitempty" json:"bars,omitempty"`
	Weight      float64  `cbor:"weight" json:"weight"`
	Warmth      float64  `cbor:"warmth" json:"warmth"` // 1: warmed up
	Load        float64  `cbor:"load" json:"load"`
	Probability float64  `cbor:"pull" json:"pull"`
	DelayMS     float64  `cbor:"delay_ms" json:"delay_ms"`
	DelayAgeMS  *float64 `cbor:"delay_age_ms,omitempty" json:"delay_age_ms,omitempty"`
}

// RelatedRequest is an earlier or later request of the same client.
type RelatedRequest struct {
	Number   uint64 `cbor:"number" json:"number"`
	Relation string `cbor:"by" json:"by"` // what the requests have in common: name, flow or group
	Result   string `cbor:"answer" json:"answer"`
	Text     string `cbor:"text" json:"text"`
}
