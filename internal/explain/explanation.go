package explain

import "time"

// Explanation is what there is to say of one request. It and what it holds are written as JSON for operators, and
// as CBOR to the store: the names in the tags are those of both forms, and stay whatever the fields are called.
// Names of fields that end in MS are times in milliseconds.
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
	ExpectedLoad  float64         `cbor:"load_us,omitempty" json:"load_us,omitempty"` // expected, in microseconds of work per second
	Returning     bool            `cbor:"return,omitempty" json:"return,omitempty"`
	Pinned        bool            `cbor:"pinned,omitempty" json:"pinned,omitempty"`
	Notable       bool            `cbor:"eventful,omitempty" json:"eventful,omitempty"`
	HeadEvicted   bool            `cbor:"first_steps_gone,omitempty" json:"first_steps_gone,omitempty"`
	EventsOmitted bool            `cbor:"steps_left_out,omitempty" json:"steps_left_out,omitempty"`
	Result        string          `cbor:"answer" json:"answer"`
	Cause         string          `cbor:"cause,omitempty" json:"cause,omitempty"`
	RetryAfterMS  float64         `cbor:"come_back_ms,omitempty" json:"come_back_ms,omitempty"`
	Events        []Event         `cbor:"steps" json:"steps"`
	Before        *RelatedRequest `cbor:"before,omitempty" json:"before,omitempty"` // the request that its client made before
	After         *RelatedRequest `cbor:"after,omitempty" json:"after,omitempty"`   // and the next

	age time.Duration // since the request was received
}

// Event is one thing that happened to a request.
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
	Preferred      string               `cbor:"instead,omitempty" json:"instead,omitempty"` // would have been selected but for its exclusions
	Text           string               `cbor:"text" json:"text"`
}

// ConsideredEndpoint is an endpoint as the balancer saw it when it decided.
type ConsideredEndpoint struct {
	Endpoint    string   `cbor:"server" json:"server"`
	State       string   `cbor:"state" json:"state"`
	Exclusions  []string `cbor:"bars,omitempty" json:"bars,omitempty"`
	Weight      float64  `cbor:"weight" json:"weight"`
	Warmth      float64  `cbor:"warmth" json:"warmth"` // 1 once it has warmed up
	Load        float64  `cbor:"load" json:"load"`
	Probability float64  `cbor:"pull" json:"pull"`
	DelayMS     float64  `cbor:"delay_ms" json:"delay_ms"`
	DelayAgeMS  *float64 `cbor:"delay_age_ms,omitempty" json:"delay_age_ms,omitempty"`
}

// RelatedRequest is an earlier or later request of the same client.
type RelatedRequest struct {
	Number   uint64 `cbor:"number" json:"number"`
	Relation string `cbor:"by" json:"by"` // flow, name or group
	Result   string `cbor:"answer" json:"answer"`
	Text     string `cbor:"text" json:"text"`
}
