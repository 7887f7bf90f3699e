//! The bounded in-memory log of a node's decisions, read by operators as the decision stream.

use monotonic_clock::Micros;
use peer_messages::{DecisionLine, NodeId};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

const DECISION_LOG_LIMIT: usize = 4_096;

/// The node's decision log, in memory, with counts by kind of decision.
///
/// Example: `decision_log.append("steward_taken", json!({"function": "proof"}), now)`.
#[derive(Debug)]
pub struct DecisionLog {
    node: NodeId,
    next_sequence: u64,
    lines: VecDeque<DecisionLine>,
    counts: BTreeMap<&'static str, u64>,
}

impl DecisionLog {
    /// An empty decision log. Example: `DecisionLog::new(7).after(0, 10).is_empty()`.
    pub fn new(node: NodeId) -> DecisionLog {
        DecisionLog { node, next_sequence: 1, lines: VecDeque::new(), counts: BTreeMap::new() }
    }

    /// Appends a decision. Example: `decision_log.append("refused", json!({"reason": "waitlist full"}), now)`.
    pub fn append(&mut self, kind: &'static str, details: Value, now: Micros) {
        let mut line = json!({
            "node": format!("{:016x}", self.node),
            "sequence": self.next_sequence,
            "at_micros": now.0,
            "kind": kind,
        });
        if let (Some(fields), Value::Object(detail_fields)) = (line.as_object_mut(), details) {
            fields.extend(detail_fields);
        }
        self.lines.push_back(DecisionLine {
            node: self.node,
            sequence: self.next_sequence,
            line: line.to_string().into(),
        });
        self.next_sequence += 1;
        *self.counts.entry(kind).or_default() += 1;
        if self.lines.len() > DECISION_LOG_LIMIT {
            self.lines.pop_front();
        }
    }

    /// The lines after a sequence number, oldest first. Example: `decision_log.after(12, 100)`.
    pub fn after(&self, sequence: u64, limit: usize) -> Vec<DecisionLine> {
        self.lines.iter().filter(|line| line.sequence > sequence).take(limit).cloned().collect()
    }

    /// The number of decisions of each kind. Example: `decision_log.counts()["steward_taken"]`.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}
