use super::*;

#[test]
fn a_trace_continues_its_clients_and_is_written_as_json() {
    let path = std::env::temp_dir().join(format!("vanelane-traces-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let writer = TraceWriter::start(&path, 1 << 20, 1.0, "a").expect("a file");
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut trace = writer.begin(Some(parent)).expect("a sampled call");
    trace.begin_span("dispatch");
    assert!(trace.parent_header().starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    trace.end_span(&[("vanelane.cell", "c1")]);
    writer.end(trace, "proofs", "unknown", 502);
    let TraceWriter { file, .. } = writer;
    drop(file);
    // The writer thread flushes when its last sender is dropped.
    let mut text = String::new();
    while !text.ends_with('\n') {
        text = std::fs::read_to_string(&path).expect("a file");
        std::thread::yield_now();
    }
    let document: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let spans = &document["resourceSpans"][0]["scopeSpans"][0]["spans"];
    assert_eq!(spans[0]["traceId"], "0af7651916cd43dd8448eb211c80319c");
    assert_eq!(spans[0]["parentSpanId"], "b7ad6b7169203331");
    assert_eq!(spans[1]["parentSpanId"], spans[0]["spanId"]);
    assert_eq!(spans[1]["attributes"][0]["value"]["stringValue"], "c1");
    let _ = std::fs::remove_file(&path);
    assert_eq!(parse_parent("00-00000000000000000000000000000000-b7ad6b7169203331-01"), None);
    assert_eq!(parse_parent("zz"), None);
}
