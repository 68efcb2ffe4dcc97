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

// Collector is a telemetry collector for OTLP 1.x over HTTP with protobuf. It is an http.Handler
// and safe for concurrent use. The zero value is ready to use.
type Collector struct {
	mu     sync.Mutex // guards the fields below
	spans  []*spanpb.Span
	values map[string]int64 // latest values of metrics, by name and attribute values
	errs   []error
}

// maxBody is the maximum size of an export, in bytes. The rest of a longer one is not read.
const maxBody = 64 << 20

// ServeHTTP receives one export of spans or metrics.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := c.receive(r); err != nil {
		c.mu.Lock()
		c.errs = append(c.errs, err)
		c.mu.Unlock()
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (c *Collector) receive(request *http.Request) error {
	var input io.Reader = request.Body
	if request.Header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(request.Body)
		if err != nil {
			return err
		}
		input = unzipped
	}
	body, err := io.ReadAll(io.LimitReader(input, maxBody))
	if err != nil {
		return err
	}
	switch request.URL.Path {
	case "/v1/traces":
		var export tracepb.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &export); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, resource := range export.ResourceSpans {
			for _, scope := range resource.ScopeSpans {
				c.spans = append(c.spans, scope.Spans...)
			}
		}
	case "/v1/metrics":
		var export metricspb.ExportMetricsServiceRequest
		if err := proto.Unmarshal(body, &export); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.storeMetrics(&export)
	default:
		return fmt.Errorf("export to unknown path %s", request.URL.Path)
	}
	return nil
}

// storeMetrics stores the latest value of each data point. The caller holds mu.
func (c *Collector) storeMetrics(export *metricspb.ExportMetricsServiceRequest) {
	if c.values == nil {
		c.values = make(map[string]int64)
	}
	for _, resource := range export.ResourceMetrics {
		for _, scope := range resource.ScopeMetrics {
			for _, metric := range scope.Metrics {
				points := metric.GetSum().GetDataPoints()
				points = append(points, metric.GetGauge().GetDataPoints()...)
				for _, point := range points {
					name := metric.Name
					for _, attribute := range point.Attributes {
						name += " " + attribute.Value.GetStringValue()
					}
					c.values[name] = point.GetAsInt()
				}
			}
		}
	}
}

// Spans returns the received spans in order of arrival.
func (c *Collector) Spans() []*spanpb.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spans[:len(c.spans):len(c.spans)]
}

// MetricValue returns the latest value of a metric. name is the metric's name followed by the
// values of its attributes, separated by spaces.
func (c *Collector) MetricValue(name string) (value int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value, ok = c.values[name]
	return value, ok
}

// Errors returns the errors of invalid exports.
func (c *Collector) Errors() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.errs[:len(c.errs):len(c.errs)]
}

// Attribute returns the text or integer value of an attribute as text, or "" if there is none.
func Attribute(attributes []*commonpb.KeyValue, key string) string {
	for _, attribute := range attributes {
		if attribute.Key != key {
			continue
		}
		if text, ok := attribute.Value.Value.(*commonpb.AnyValue_StringValue); ok {
			return text.StringValue
		}
		return fmt.Sprint(attribute.Value.GetIntValue())
	}
	return ""
}
