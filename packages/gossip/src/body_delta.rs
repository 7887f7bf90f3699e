//! The difference between two bodies of a topic, as ranges copied from the old body and inserted bytes.
//!
//! The old body is indexed in blocks; a rolling hash over the new body finds these blocks at any position,
//! and each match is extended in both directions as far as the bytes agree.

use peer_messages::{Bytes, DeltaStep, List};
use std::collections::HashMap;

/// The minimum length of a match.
const BLOCK: usize = 64;
/// The inserted bytes of a delta are at most the length of the new body divided by this.
const INSERTED_DIVISOR: usize = 4;
const ROLL: u64 = 0x0000_0100_0000_01b3;

/// The steps that turn `base` into `next`; `None` if they would contain much of `next`.
/// Example: `delta(&old, &new).is_some()` if one item of many changed.
pub(crate) fn delta(base: &[u8], next: &[u8]) -> Option<List<DeltaStep>> {
    let blocks = block_index(base);
    let outgoing_factor = (1..BLOCK).fold(1u64, |factor, _| factor.wrapping_mul(ROLL));
    let mut steps = Vec::new();
    let mut insert_from = 0;
    let mut inserted_count = 0;
    let mut position = 0;
    let mut rolling = None;
    while position + BLOCK <= next.len() {
        let window = &next[position..position + BLOCK];
        let hash = *rolling.get_or_insert_with(|| window_hash(window));
        let found = blocks.get(&hash).filter(|from| base[**from..].starts_with(window));
        if let Some(found) = found {
            let range = extend_match(base, next, *found, position, insert_from);
            inserted_count += range.next_from - insert_from;
            push_step(&mut steps, &next[insert_from..range.next_from], range.base_from, range.length);
            position = range.next_from + range.length;
            insert_from = position;
            rolling = None;
        } else {
            let incoming = next.get(position + BLOCK).copied();
            rolling = incoming.map(|incoming| rolled(hash, next[position], incoming, outgoing_factor));
            position += 1;
        }
        if (inserted_count + position - insert_from) * INSERTED_DIVISOR > next.len() {
            return None;
        }
    }
    push_step(&mut steps, &next[insert_from..], 0, 0);
    Some(List(steps))
}

/// Applies the steps to the base; `None` if they do not fit it or the body would exceed the limit.
/// Example: `patched(&old, &delta(&old, &new)?)? == new`.
pub(crate) fn patched(base: &[u8], steps: &List<DeltaStep>, max_bytes: usize) -> Option<Vec<u8>> {
    let lengths = steps.0.iter().map(|step| step.length as usize + step.insert.0.len());
    let mut body = Vec::with_capacity(lengths.sum::<usize>().min(max_bytes));
    for step in &steps.0 {
        let from = step.from as usize;
        let copied = base.get(from..from.checked_add(step.length as usize)?)?;
        if body.len() + copied.len() + step.insert.0.len() > max_bytes {
            return None;
        }
        body.extend_from_slice(copied);
        body.extend_from_slice(&step.insert.0);
    }
    Some(body)
}

/// A range of equal bytes in both bodies.
struct CommonRange {
    base_from: usize,
    next_from: usize,
    length: usize,
}

/// Extends a match as far as the bytes agree: backward to the end of the bytes already covered, and forward.
fn extend_match(
    base: &[u8],
    next: &[u8],
    base_position: usize,
    next_position: usize,
    covered_to: usize,
) -> CommonRange {
    let preceding = base[..base_position].iter().rev().zip(next[covered_to..next_position].iter().rev());
    let back = preceding.take_while(|(old, new)| old == new).count();
    let following = base[base_position..].iter().zip(&next[next_position..]);
    let forward = following.take_while(|(old, new)| old == new).count();
    CommonRange { base_from: base_position - back, next_from: next_position - back, length: back + forward }
}

/// Appends inserted bytes to the last step, which copies the range before them, and adds a step for the next
/// range.
fn push_step(steps: &mut Vec<DeltaStep>, inserted: &[u8], from: usize, length: usize) {
    if !inserted.is_empty() {
        match steps.last_mut() {
            Some(last_step) => last_step.insert = Bytes(inserted.to_vec()),
            None => steps.push(DeltaStep { from: 0, length: 0, insert: Bytes(inserted.to_vec()) }),
        }
    }
    if length > 0 {
        steps.push(DeltaStep { from: from as u32, length: length as u32, insert: Bytes::default() });
    }
}

fn block_index(base: &[u8]) -> HashMap<u64, usize> {
    base.chunks_exact(BLOCK).enumerate().map(|(number, block)| (window_hash(block), number * BLOCK)).collect()
}

fn window_hash(window: &[u8]) -> u64 {
    window.iter().fold(0u64, |hash, byte| hash.wrapping_mul(ROLL).wrapping_add(u64::from(*byte)))
}

/// The hash of the window moved by one byte.
fn rolled(hash: u64, outgoing: u8, incoming: u8, outgoing_factor: u64) -> u64 {
    let kept = hash.wrapping_sub(u64::from(outgoing).wrapping_mul(outgoing_factor));
    kept.wrapping_mul(ROLL).wrapping_add(u64::from(incoming))
}

#[cfg(test)]
mod tests;
