//! The native operator pages: changes, decisions, status, configuration, health, readiness, metrics.

use crate::operator_port::{ConfirmedConfiguration, OperatorPages, OperatorPort, Page};
use crate::protocol_runtime::DecisionsReply;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Payload, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use configuration_schema::{Change, DOCUMENT_LIMIT, Reason};
use futures_util::future::LocalBoxFuture;
use futures_util::{Stream, StreamExt};
use peer_messages::NodeId;
use serde_json::{Value, json};
use std::fmt::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

const LINE_LIMIT: usize = DOCUMENT_LIMIT + 64 * 1024;
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(500);
const DECISIONS_PER_RESPONSE: u32 = 500;

/// The native pages. Example: `ControlPages.respond(port, request).await`.
pub struct ControlPages;

impl OperatorPages for ControlPages {
    fn respond(&self, port: OperatorPort, request: Request) -> LocalBoxFuture<'static, Page> {
        Box::pin(NativePages { port }.respond(request))
    }
}

/// The node's metrics as text, one a line, for the pages of any platform.
/// Example: `metrics_page(port).await` has a line `vanelane_generation 7`.
pub async fn metrics_page(port: OperatorPort) -> Page {
    NativePages { port }.metrics().await
}

#[derive(Clone)]
struct NativePages {
    port: OperatorPort,
}

fn page(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Page {
    let mut response = Response::with_body(status, BoxBody::new(body.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn json_page(status: StatusCode, document: &Value) -> Page {
    page(status, "application/json", document.to_string() + "\n")
}

/// A page that streams JSON lines as they are produced.
fn line_page(lines: impl Stream<Item = Result<Bytes, std::io::Error>> + 'static) -> Page {
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(Box::pin(lines))));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
    response
}

impl NativePages {
    async fn respond(self, mut request: Request) -> Page {
        let path = request.path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/control/changes") => self.changes(request.take_payload()),
            (Method::GET, "/control/decisions") => {
                let query = request.uri().query().unwrap_or_default().to_owned();
                self.decisions(&query).await
            }
            (Method::GET, "/control/status") => self.status().await,
            (Method::GET, "/control/configuration") => self.configuration().await,
            (Method::GET, "/health") => json_page(StatusCode::OK, &json!({"health": "ok"})),
            (Method::GET, "/ready") => self.ready(),
            (Method::GET, "/metrics") => self.metrics().await,
            (
                _,
                "/control/changes"
                | "/control/decisions"
                | "/control/status"
                | "/control/configuration"
                | "/health"
                | "/ready"
                | "/metrics",
            ) => json_page(StatusCode::METHOD_NOT_ALLOWED, &json!({"reason": "another method"})),
            _ => json_page(StatusCode::NOT_FOUND, &json!({"reason": "no such page"})),
        }
    }

    fn ready(&self) -> Page {
        let is_draining = self.port.is_draining();
        let is_ready = self.port.is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_page(status, &json!({"ready": is_ready, "draining": is_draining}))
    }

    /// Applies the lines one after another; each outcome is sent before the next line is read.
    fn changes(self, payload: Payload) -> Page {
        let reader = LineReader { payload, buffer: BytesMut::new(), is_finished: false };
        let outcomes = futures_util::stream::unfold((self, reader), |(pages, mut reader)| async move {
            let line = reader.next_line().await?;
            let outcome_line = match line {
                Ok(line) => pages.change(&line).await,
                Err(reason) => {
                    reader.is_finished = true;
                    refused_line(Value::Null, reason)
                }
            };
            let outcome_bytes = Bytes::from(outcome_line.to_string() + "\n");
            Some((Ok::<Bytes, std::io::Error>(outcome_bytes), (pages, reader)))
        });
        line_page(outcomes)
    }

    async fn change(&self, line: &[u8]) -> Value {
        let change = match Change::read(line) {
            Ok(change) => change,
            Err(failure) => {
                let change_id = serde_json::from_slice::<Value>(line)
                    .ok()
                    .and_then(|document| document.get("change_id").cloned());
                return refused_line(change_id.unwrap_or(Value::Null), format!("no change: {failure}"));
            }
        };
        let change_id = change.change_id.clone();
        self.port.change(change).await.line(&change_id)
    }

    async fn decisions(self, query: &str) -> Page {
        let mut after = Vec::new();
        let mut is_following = false;
        let mut limit = DECISIONS_PER_RESPONSE;
        for (name, value) in query.split('&').filter_map(|part| part.split_once('=')) {
            match name {
                "after" => match parse_cursor(value) {
                    Some(cursor) => after = cursor,
                    None => {
                        return json_page(StatusCode::BAD_REQUEST, &json!({"reason": "after is no cursor"}));
                    }
                },
                "follow" => is_following = value == "1",
                "most" => match value.parse::<u32>() {
                    Ok(number) => limit = number.clamp(1, 2_000),
                    Err(_) => {
                        return json_page(StatusCode::BAD_REQUEST, &json!({"reason": "most is no number"}));
                    }
                },
                _ => {
                    let reason = format!("unknown field {name}");
                    return json_page(StatusCode::BAD_REQUEST, &json!({"reason": reason}));
                }
            }
        }
        if !is_following {
            let Some(reply) = self.port.decisions(after, limit).await else {
                return json_page(StatusCode::SERVICE_UNAVAILABLE, &json!({"reason": "no answer"}));
            };
            return page(StatusCode::OK, "application/x-ndjson", decision_lines(&reply));
        }
        let stream =
            futures_util::stream::unfold((self, after, true), move |(pages, after, is_first)| async move {
                if !is_first {
                    tokio::time::sleep(FOLLOW_POLL_INTERVAL).await;
                }
                let requested = after.clone();
                let reply = pages.port.decisions(requested, limit).await?;
                let lines = if reply.lines.is_empty() { String::new() } else { decision_lines(&reply) };
                Some((Ok::<Bytes, std::io::Error>(Bytes::from(lines)), (pages, reply.cursor, false)))
            });
        let non_empty = stream.filter(|chunk| {
            let has_bytes = chunk.as_ref().is_ok_and(|bytes| !bytes.is_empty());
            std::future::ready(has_bytes)
        });
        line_page(non_empty)
    }

    async fn status(&self) -> Page {
        let Some(status) = self.port.status().await else {
            return json_page(StatusCode::SERVICE_UNAVAILABLE, &json!({"reason": "no answer"}));
        };
        let members: Vec<Value> = status
            .members
            .iter()
            .map(|member| {
                json!({
                    "node": hex(member.node),
                    "address": member.address.socket().to_string(),
                    "zone": member.zone.0,
                    "state": (["alive", "suspected", "gone"].get(member.state as usize)),
                    "disk": (["none", "blank", "voting", "spare", "failed"].get(member.disk_state as usize)),
                    "disk_id": hex(member.disk),
                    "draining": member.draining == 1,
                })
            })
            .collect();
        let leader_counts: serde_json::Map<String, Value> =
            status.leader_counts.iter().map(|(node, count)| (hex(*node), json!(count))).collect();
        json_page(
            StatusCode::OK,
            &json!({
                "node": hex(status.node),
                "ready": status.is_ready,
                "generation": status.generation,
                "members": members,
                "steward_of": status.held,
                "tally": leader_counts,
                "functions_without_steward": status.unheld,
                "voters": status.voters.iter().map(|disk| hex(*disk)).collect::<Vec<String>>(),
                "disk_trouble": status.disk_fault,
                "owned_keys": status.owned_keys,
                "majority_read_age_millis": status.majority_read_age.map(|age| age.millis()),
                "newer_generation_awaited_millis": status.newer_awaited_for.map(|span| span.millis()),
                "gate_refusals": status.election_counts.0,
                "lost_races": status.election_counts.1,
                "gates_passed_over": status.election_counts.2,
                "open_calls": self.port.gateway.open_calls(),
            }),
        )
    }

    /// The configuration as confirmed by a majority of the disks. A partitioned node returns an error.
    async fn configuration(&self) -> Page {
        let unconfirmed =
            |reason: String| json_page(StatusCode::SERVICE_UNAVAILABLE, &json!({"reason": reason}));
        let stored = match self.port.confirmed_configuration().await {
            ConfirmedConfiguration::Stored(stored) => stored,
            ConfirmedConfiguration::NewerOnPeer(address) => {
                return unconfirmed(format!("this node's link is small: read it from the node at {address}"));
            }
            ConfirmedConfiguration::Unconfirmed => {
                return unconfirmed(
                    "no majority of the disks confirmed it: ask again, or another node".to_owned(),
                );
            }
        };
        json_page(
            StatusCode::OK,
            &json!({
                "generation": stored.generation, "version": stored.version, "document": stored.document
            }),
        )
    }

    async fn metrics(&self) -> Page {
        let Some(status) = self.port.status().await else {
            return json_page(StatusCode::SERVICE_UNAVAILABLE, &json!({"reason": "no answer"}));
        };
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "vanelane_{name} {value}");
        };
        for (name, value) in self.port.gateway.counts.all() {
            line(&format!("calls_{name}"), value);
        }
        let open_calls = self.port.gateway.open_calls_by_stage();
        line("calls_open", open_calls.all as u64);
        line("calls_awaiting_ticket", open_calls.awaiting_permit as u64);
        line("calls_at_cell", open_calls.at_instance as u64);
        line("records_dropped", self.port.gateway.records_dropped());
        line("generation", status.generation);
        line("members", status.members.len() as u64);
        line("steward_of", status.held.len() as u64);
        line("functions_without_steward", status.unheld as u64);
        line("disk_unusable", u64::from(status.disk_fault.is_some()));
        line("owned_keys", status.owned_keys as u64);
        line("keys_acquired", status.owner_counts.acquired);
        line("keys_deposed", status.owner_counts.deposed);
        line("keys_abandoned", status.owner_counts.abandoned);
        line("voter_set_generation", status.voter_set_generation);
        line("voter_change_millis", status.voter_change.map_or(0, |change| change.known_for.millis()));
        if let Some(progress) = status.voter_change.and_then(|change| change.progress) {
            line("voter_change_disks_listed", progress.disks_listed as u64);
            line("voter_change_keys_known", progress.keys_known as u64);
            line("voter_change_keys_copied", progress.keys_copied as u64);
        }
        if let Some(age) = status.majority_read_age {
            line("majority_read_age_millis", age.millis());
        }
        line("newer_generation_awaited_millis", status.newer_awaited_for.map_or(0, |span| span.millis()));
        for (place, longest) in self.port.lag.all() {
            line(&format!("lag_micros{{at=\"{place}\"}}"), longest.as_micros() as u64);
        }
        line("gate_refusals", status.election_counts.0);
        line("lost_races", status.election_counts.1);
        line("gates_passed_over", status.election_counts.2);
        line("messages_heard", status.counts.messages_received);
        line("messages_misdirected", status.counts.messages_misdirected);
        line("messages_sent", status.counts.messages_sent);
        line("disk_groups", status.counts.disk_groups);
        line("tickets_granted", status.counts.permits_granted);
        line("tickets_for_another_zone", status.counts.remote_permits);
        line("deputy_tickets", status.counts.fallback_permits);
        line("asks_refused", status.counts.requests_refused);
        line("usage_windows_decided", status.counts.usage_decided);
        line("usage_windows_reported", status.counts.usage_reported);
        if let Some(age) = status.usage_report_age {
            line("usage_newest_report_age_millis", age.millis());
        }
        let frames = [
            ("frames_foreign", &self.port.frames.foreign),
            ("frames_too_long", &self.port.frames.too_long),
            ("frames_damaged", &self.port.frames.damaged),
            ("frames_other_fleet", &self.port.frames.other_fleet),
            ("frames_waitlist_full", &self.port.frames.queue_full),
            ("frames_stale", &self.port.frames.stale),
        ];
        for (name, count) in frames {
            line(name, count.load(Ordering::Relaxed));
        }
        for (kind, count) in &status.decisions {
            line(&format!("decisions{{kind=\"{kind}\"}}"), *count);
        }
        page(StatusCode::OK, "text/plain; version=0.0.4", text)
    }
}

fn refused_line(change_id: Value, reason: String) -> Value {
    json!({
        "change_id": change_id,
        "outcome": "refused",
        "reasons": [Reason::at("", reason)],
    })
}

fn decision_lines(reply: &DecisionsReply) -> String {
    let mut text = String::new();
    for line in &reply.lines {
        text.push_str(&line.line.0);
        text.push('\n');
    }
    let cursor: Vec<String> =
        reply.cursor.iter().map(|(node, sequence)| format!("{node:x}.{sequence}")).collect();
    text.push_str(&json!({"cursor": cursor.join("_")}).to_string());
    text.push('\n');
    text
}

fn parse_cursor(text: &str) -> Option<Vec<(NodeId, u64)>> {
    text.split('_')
        .filter(|part| !part.is_empty())
        .take(1_024)
        .map(|part| {
            let (node, sequence) = part.split_once('.')?;
            Some((NodeId::from_str_radix(node, 16).ok()?, sequence.parse().ok()?))
        })
        .collect()
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}

/// Splits a request body into lines of bounded length.
struct LineReader {
    payload: Payload,
    buffer: BytesMut,
    is_finished: bool,
}

impl LineReader {
    async fn next_line(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1).freeze().slice(..end);
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return Some(Ok(line));
            }
            if self.buffer.len() > LINE_LIMIT {
                self.buffer.clear();
                return Some(Err(format!("a line is over {LINE_LIMIT} bytes")));
            }
            if self.is_finished {
                let line = self.buffer.split().freeze();
                let is_blank = line.iter().all(u8::is_ascii_whitespace);
                return if is_blank { None } else { Some(Ok(line)) };
            }
            match self.payload.next().await {
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
                Some(Err(failure)) => {
                    self.buffer.clear();
                    return Some(Err(format!("the stream broke: {failure}")));
                }
                None => self.is_finished = true,
            }
        }
    }
}
