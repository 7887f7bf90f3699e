//! Sampled traces of calls in the OpenTelemetry JSON form, one export document a line, laid out by
//! the `opentelemetry-proto` library. Off unless a file is named; nothing is decided by them, and
//! the wall clock read here serves readers only.

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
const FAILED: i32 = 2;

/// Writes sampled traces. Example: `TraceWriter::start(path, 1 << 30, 0.01, "zone-a")?.begin(None)`.
#[derive(Debug)]
pub struct TraceWriter {
    file: LineFile,
    sample: f64,
    zone: String,
}

/// One call's trace while it is under way. Example: `trace.begin_span("ticket")`.
#[derive(Debug)]
pub struct CallTrace {
    trace_id: Vec<u8>,
    root: Span,
    spans: Vec<Span>,
}

fn nanos_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_nanos() as u64)
}

fn fresh_id(length: usize) -> Vec<u8> {
    std::iter::repeat_with(|| fastrand::u8(1..)).take(length).collect()
}

fn attribute(name: &str, text: &str) -> KeyValue {
    let value = AnyValue { value: Some(Value::StringValue(text.to_owned())) };
    KeyValue { key: name.to_owned(), value: Some(value), ..KeyValue::default() }
}

/// The trace and parent of a W3C `traceparent` header; anything else is none.
/// Example: `parse_parent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").is_some()`.
pub fn parse_parent(header: &str) -> Option<(Vec<u8>, Vec<u8>)> {
    let parts: Vec<&str> = header.split('-').collect();
    let [_, trace_text, parent_text, _] = parts[..] else { return None };
    let unhex = |text: &str, length: usize| -> Option<Vec<u8>> {
        if text.len() != length * 2 || !text.is_ascii() {
            return None;
        }
        let bytes: Option<Vec<u8>> =
            (0..length).map(|place| u8::from_str_radix(&text[place * 2..place * 2 + 2], 16).ok()).collect();
        bytes.filter(|found| found.iter().any(|byte| *byte != 0))
    };
    Some((unhex(trace_text, 16)?, unhex(parent_text, 8)?))
}

impl TraceWriter {
    /// Appends to a file until it has so many bytes; `sample` is the share of calls traced.
    /// Example: `TraceWriter::start(path, 1 << 30, 0.01, "zone-a")`.
    pub fn start(path: &Path, most_bytes: u64, sample: f64, zone: &str) -> std::io::Result<TraceWriter> {
        Ok(TraceWriter { file: LineFile::start(path, most_bytes)?, sample, zone: zone.to_owned() })
    }

    /// Begins a trace if the call is drawn, under the visitor's `traceparent` if it has one.
    /// Example: `let trace = writer.begin(Some(header));`.
    pub fn begin(&self, parent_header: Option<&str>) -> Option<CallTrace> {
        if fastrand::f64() >= self.sample {
            return None;
        }
        let parent = parent_header.and_then(parse_parent);
        let (trace_id, parent_id) = parent.unwrap_or_else(|| (fresh_id(16), Vec::new()));
        let root = Span {
            trace_id: trace_id.clone(),
            span_id: fresh_id(8),
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
            root.status = Some(Status { message: outcome.to_owned(), code: FAILED });
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

    /// Traces that were lost. Example: `writer.dropped() == 0`.
    pub fn dropped(&self) -> u64 {
        self.file.dropped()
    }
}

impl CallTrace {
    /// Begins a part of the call: `ticket` or `dispatch`. Example: `trace.begin_span("ticket")`.
    pub fn begin_span(&mut self, name: &str) {
        self.spans.push(Span {
            trace_id: self.trace_id.clone(),
            span_id: fresh_id(8),
            parent_span_id: self.root.span_id.clone(),
            name: name.to_owned(),
            kind: if name == "dispatch" { CLIENT_SPAN } else { INTERNAL_SPAN },
            start_time_unix_nano: nanos_now(),
            ..Span::default()
        });
    }

    /// Ends the part begun last, with attributes. Example: `trace.end_span(&[("vanelane.cell", "c1")])`.
    pub fn end_span(&mut self, attributes: &[(&str, &str)]) {
        let Some(span) = self.spans.last_mut() else { return };
        span.end_time_unix_nano = nanos_now();
        span.attributes = attributes.iter().map(|(name, text)| attribute(name, text)).collect();
    }

    /// The header by which a cell joins the trace under the part begun last.
    /// Example: `trace.parent_header().starts_with("00-")`.
    pub fn parent_header(&self) -> String {
        let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        let span = self.spans.last().unwrap_or(&self.root);
        format!("00-{}-{}-01", hex(&self.trace_id), hex(&span.span_id))
    }
}

#[cfg(test)]
mod tests;
