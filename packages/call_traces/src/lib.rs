//! Sampled traces of calls in the OpenTelemetry JSON format, one export document per line, serialized by the
//! `opentelemetry-proto` library. Tracing is off unless a file is configured. No decision depends on traces,
//! and the wall clock is read only for their timestamps.

mod line_file;

pub use line_file::LineFile;

use opentelemetry_proto::tonic::common::v1::{AnyValue, InstrumentationScope, KeyValue, any_value::Value};
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::{ResourceSpans, ScopeSpans, Span, Status, TracesData};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const SERVER_SPAN: i32 = 2;
const CLIENT_SPAN: i32 = 3;
const INTERNAL_SPAN: i32 = 1;
const STATUS_ERROR: i32 = 2;

/// Writes sampled traces. Example: `TraceWriter::start(path, 1 << 30, 0.01, "zone-a")?.begin(None)`.
#[derive(Debug)]
pub struct TraceWriter {
    file: LineFile,
    sample_ratio: f64,
    zone: String,
}

/// The trace of one open call. Example: `trace.begin_span("ticket")`.
#[derive(Debug)]
pub struct CallTrace {
    trace_id: Vec<u8>,
    root: Span,
    spans: Vec<Span>,
}

fn nanos_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_nanos() as u64)
}

fn random_id(length: usize) -> Vec<u8> {
    std::iter::repeat_with(|| fastrand::u8(1..)).take(length).collect()
}

fn attribute(name: &str, text: &str) -> KeyValue {
    let value = AnyValue { value: Some(Value::StringValue(text.to_owned())) };
    KeyValue { key: name.to_owned(), value: Some(value), ..KeyValue::default() }
}

/// The trace id and parent span id of a W3C `traceparent` header; none if it is invalid.
/// Example: `parse_parent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").is_some()`.
pub fn parse_parent(header: &str) -> Option<(Vec<u8>, Vec<u8>)> {
    let parts: Vec<&str> = header.split('-').collect();
    let [_, trace_text, parent_text, _] = parts[..] else { return None };
    let decode_hex = |text: &str, length: usize| -> Option<Vec<u8>> {
        if text.len() != length * 2 || !text.is_ascii() {
            return None;
        }
        let bytes: Option<Vec<u8>> =
            (0..length).map(|index| u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()).collect();
        bytes.filter(|bytes| bytes.iter().any(|byte| *byte != 0))
    };
    Some((decode_hex(trace_text, 16)?, decode_hex(parent_text, 8)?))
}

impl TraceWriter {
    /// Appends to a file up to a maximum size in bytes; `sample_ratio` is the share of calls traced.
    /// Example: `TraceWriter::start(path, 1 << 30, 0.01, "zone-a")`.
    pub fn start(path: &Path, max_bytes: u64, sample_ratio: f64, zone: &str) -> std::io::Result<TraceWriter> {
        Ok(TraceWriter { file: LineFile::start(path, max_bytes)?, sample_ratio, zone: zone.to_owned() })
    }

    /// Begins a trace if the call is sampled, under the client's `traceparent` if there is one.
    /// Example: `let trace = writer.begin(Some(header));`.
    pub fn begin(&self, parent_header: Option<&str>) -> Option<CallTrace> {
        if fastrand::f64() >= self.sample_ratio {
            return None;
        }
        let parent = parent_header.and_then(parse_parent);
        let (trace_id, parent_id) = parent.unwrap_or_else(|| (random_id(16), Vec::new()));
        let root = Span {
            trace_id: trace_id.clone(),
            span_id: random_id(8),
            parent_span_id: parent_id,
            name: "call".to_owned(),
            kind: SERVER_SPAN,
            start_time_unix_nano: nanos_now(),
            ..Span::default()
        };
        Some(CallTrace { trace_id, root, spans: Vec::new() })
    }

    /// Ends a call's trace and writes it. Example: `writer.end(trace, "proofs", "ran", 200)`.
    pub fn end(&self, trace: CallTrace, route: &str, outcome: &str, status: u16) {
        let mut root = trace.root;
        root.end_time_unix_nano = nanos_now();
        root.attributes = vec![
            attribute("vanelane.lane", route),
            attribute("vanelane.outcome", outcome),
            attribute("http.response.status_code", &status.to_string()),
        ];
        if outcome != "ran" {
            root.status = Some(Status { message: outcome.to_owned(), code: STATUS_ERROR });
        }
        let mut spans = vec![root];
        spans.extend(trace.spans);
        let scope = InstrumentationScope { name: "vanelane".to_owned(), ..InstrumentationScope::default() };
        let resource = Resource {
            attributes: vec![attribute("service.name", "vanelane"), attribute("vanelane.zone", &self.zone)],
            ..Resource::default()
        };
        let document = TracesData {
            resource_spans: vec![ResourceSpans {
                resource: Some(resource),
                scope_spans: vec![ScopeSpans { scope: Some(scope), spans, schema_url: String::new() }],
                schema_url: String::new(),
            }],
        };
        if let Ok(line) = serde_json::to_vec(&document) {
            self.file.write(line);
        }
    }

    /// The number of dropped traces. Example: `writer.dropped() == 0`.
    pub fn dropped(&self) -> u64 {
        self.file.dropped()
    }
}

impl CallTrace {
    /// Begins a span of the call: `ticket` or `dispatch`. Example: `trace.begin_span("ticket")`.
    pub fn begin_span(&mut self, name: &str) {
        self.spans.push(Span {
            trace_id: self.trace_id.clone(),
            span_id: random_id(8),
            parent_span_id: self.root.span_id.clone(),
            name: name.to_owned(),
            kind: if name == "dispatch" { CLIENT_SPAN } else { INTERNAL_SPAN },
            start_time_unix_nano: nanos_now(),
            ..Span::default()
        });
    }

    /// Ends the latest span, with attributes. Example: `trace.end_span(&[("vanelane.cell", "c1")])`.
    pub fn end_span(&mut self, attributes: &[(&str, &str)]) {
        let Some(span) = self.spans.last_mut() else { return };
        span.end_time_unix_nano = nanos_now();
        span.attributes = attributes.iter().map(|(name, text)| attribute(name, text)).collect();
    }

    /// The `traceparent` header with which an instance continues the trace under the latest span.
    /// Example: `trace.parent_header().starts_with("00-")`.
    pub fn parent_header(&self) -> String {
        let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        let span = self.spans.last().unwrap_or(&self.root);
        format!("00-{}-{}-01", hex(&self.trace_id), hex(&span.span_id))
    }
}

#[cfg(test)]
mod tests;
