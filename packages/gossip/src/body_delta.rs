//! The difference between two bodies of a topic, as copied stretches of the old one and new bytes.
//!
//! The old body is indexed in blocks; a rolling hash over the new one finds them again wherever they
//! moved to, and each find is extended as far as the bytes agree.

use peer_messages::{Bytes, DeltaStep, List};
use std::collections::HashMap;

/// A stretch that is found again has at least this many bytes.
const BLOCK: usize = 64;
/// A delta with more new bytes than this share of the body is not worth having.
const WORTH_SHARE: usize = 4;
const ROLL: u64 = 0x0000_0100_0000_01b3;

/// The steps that make `next` of `base`; `None` where they would hold much of it anyway.
/// Example: `delta(&old, &new).is_some()` when one item of many changed.
pub(crate) fn delta(base: &[u8], next: &[u8]) -> Option<List<DeltaStep>> {
    let blocks = block_index(base);
    let out_factor = (1..BLOCK).fold(1u64, |factor, _| factor.wrapping_mul(ROLL));
    let mut steps = Vec::new();
    let mut insert_from = 0;
    let mut inserted_count = 0;
    let mut place = 0;
    let mut rolling = None;
    while place + BLOCK <= next.len() {
        let window = &next[place..place + BLOCK];
        let hash = *rolling.get_or_insert_with(|| window_hash(window));
        let found = blocks.get(&hash).filter(|from| base[**from..].starts_with(window));
        if let Some(found) = found {
            let stretch = extended(base, next, *found, place, insert_from);
            inserted_count += stretch.next_from - insert_from;
            push_step(&mut steps, &next[insert_from..stretch.next_from], stretch.base_from, stretch.length);
            place = stretch.next_from + stretch.length;
            insert_from = place;
            rolling = None;
        } else {
            let entering = next.get(place + BLOCK).copied();
            rolling = entering.map(|entering| rolled(hash, next[place], entering, out_factor));
            place += 1;
        }
        if (inserted_count + place - insert_from) * WORTH_SHARE > next.len() {
            return None;
        }
    }
    push_step(&mut steps, &next[insert_from..], 0, 0);
    Some(List(steps))
}

/// The body that the steps make of the base; `None` where they do not fit it.
/// Example: `patched(&old, &delta(&old, &new)?)? == new`.
pub(crate) fn patched(base: &[u8], steps: &List<DeltaStep>, most_bytes: usize) -> Option<Vec<u8>> {
    let lengths = steps.0.iter().map(|step| step.length as usize + step.insert.0.len());
    let mut body = Vec::with_capacity(lengths.sum::<usize>().min(most_bytes));
    for step in &steps.0 {
        let from = step.from as usize;
        let copied = base.get(from..from.checked_add(step.length as usize)?)?;
        if body.len() + copied.len() + step.insert.0.len() > most_bytes {
            return None;
        }
        body.extend_from_slice(copied);
        body.extend_from_slice(&step.insert.0);
    }
    Some(body)
}

struct Stretch {
    base_from: usize,
    next_from: usize,
    length: usize,
}

/// A find, made as long as the bytes agree: back to what was not told yet, and forward.
fn extended(base: &[u8], next: &[u8], base_place: usize, next_place: usize, copied_to: usize) -> Stretch {
    let before = base[..base_place].iter().rev().zip(next[copied_to..next_place].iter().rev());
    let back = before.take_while(|(old, new)| old == new).count();
    let behind = base[base_place..].iter().zip(&next[next_place..]);
    let forward = behind.take_while(|(old, new)| old == new).count();
    Stretch { base_from: base_place - back, next_from: next_place - back, length: back + forward }
}

/// New bytes belong behind the copied stretch before them: they complete the last step.
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

/// The hash of the window one byte on.
fn rolled(hash: u64, draining: u8, entering: u8, out_factor: u64) -> u64 {
    let kept = hash.wrapping_sub(u64::from(draining).wrapping_mul(out_factor));
    kept.wrapping_mul(ROLL).wrapping_add(u64::from(entering))
}

#[cfg(test)]
mod tests;
