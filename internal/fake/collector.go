package fake

import (
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"sync"

	metricspb "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	tracepb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	spanpb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// Collector is a stand-in of a collector of telemetry: OTLP 1.x over HTTP with
// protobuf. It is an http.Handler.
type Collector struct {
	mu     sync.Mutex
	spans  []*spanpb.Span
	counts map[string]int64
	errs   []error
}

// maxBody bounds an export.
const maxBody = 64 << 20

// ServeHTTP takes one export.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := c.receive(r); err != nil {
		c.mu.Lock()
		c.errs = append(c.errs, err)
		c.mu.Unlock()
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (c *Collector) receive(r *http.Request) error {
	var in io.Reader = r.Body
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			return err
		}
		in = z
	}
	body, err := io.ReadAll(io.LimitReader(in, maxBody))
	if err != nil {
		return err
	}
	switch r.URL.Path {
	case "/v1/traces":
		var m tracepb.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, of := range m.ResourceSpans {
			for _, in := range of.ScopeSpans {
				c.spans = append(c.spans, in.Spans...)
			}
		}
	case "/v1/metrics":
		var m metricspb.ExportMetricsServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.storeMetrics(&m)
	default:
		return fmt.Errorf("an export to %s", r.URL.Path)
	}
	return nil
}

func (c *Collector) storeMetrics(m *metricspb.ExportMetricsServiceRequest) {
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	for _, of := range m.ResourceMetrics {
		for _, in := range of.ScopeMetrics {
			for _, one := range in.Metrics {
				points := one.GetSum().GetDataPoints()
				points = append(points, one.GetGauge().GetDataPoints()...)
				for _, p := range points {
					name := one.Name
					for _, a := range p.Attributes {
						name += " " + a.Value.GetStringValue()
					}
					c.counts[name] = p.GetAsInt()
				}
			}
		}
	}
}

// Spans are those that came, in the order in which they did.
func (c *Collector) Spans() []*spanpb.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spans[:len(c.spans):len(c.spans)]
}

// Count is the last value of a metric, by its name and its attributes' values.
func (c *Collector) Count(name string) (n int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok = c.counts[name]
	return n, ok
}

// Errors are what could not be read.
func (c *Collector) Errors() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.errs[:len(c.errs):len(c.errs)]
}

// Attribute is the value of a span's attribute, as text; "" if it has none.
func Attribute(all []*commonpb.KeyValue, key string) string {
	for _, a := range all {
		if a.Key == key {
			switch session := a.Value.Value.(type) {
			case *commonpb.AnyValue_StringValue:
				return session.StringValue
			default:
				return fmt.Sprint(a.Value.GetIntValue())
			}
		}
	}
	return ""
}
