use super::*;
use fastrand::Rng;

fn lines(count: usize) -> Vec<String> {
    let line = |number: usize| format!("\"route-{number}\":{{\"host\":\"h{}\",\"rank\":2}},", number * 7);
    (0..count).map(line).collect()
}

#[test]
fn a_delta_of_few_changed_items_is_small_and_restores_the_body_exactly() {
    let base = lines(4_000).concat().into_bytes();
    for random_seed in 0..40 {
        let mut rng = Rng::with_seed(random_seed);
        let mut next_lines = lines(4_000);
        for _ in 0..10 {
            let index = rng.usize(..next_lines.len());
            match rng.u8(..3) {
                0 => next_lines[index] = "\"changed\":{\"host\":\"other\"},".to_owned(),
                1 => {
                    next_lines.remove(index);
                }
                _ => next_lines.insert(index, "\"added\":{},".to_owned()),
            }
        }
        let next = next_lines.concat().into_bytes();
        let steps = delta(&base, &next).expect("little changed");
        let inserted_count: usize = steps.0.iter().map(|step| step.insert.0.len()).sum();
        assert!(inserted_count < 3_000, "seed {random_seed}: {inserted_count} bytes");
        assert_eq!(patched(&base, &steps, next.len()).expect("fits"), next, "seed {random_seed}");
    }
}

#[test]
fn a_delta_restores_bodies_of_any_shape_exactly() {
    for random_seed in 0..300 {
        let mut rng = Rng::with_seed(random_seed);
        let base: Vec<u8> = (0..rng.usize(..600)).map(|_| rng.u8(..4)).collect();
        let mut next = base.clone();
        for _ in 0..rng.usize(..4) {
            let index = rng.usize(..=next.len());
            next.splice(index..index, (0..rng.usize(..9)).map(|_| rng.u8(..4)));
        }
        if let Some(steps) = delta(&base, &next) {
            assert_eq!(patched(&base, &steps, next.len()).expect("fits"), next, "seed {random_seed}");
        }
    }
}

#[test]
fn unrelated_bodies_have_no_delta_and_invalid_steps_are_rejected() {
    let mut rng = Rng::with_seed(1);
    let base: Vec<u8> = (0..50_000).map(|_| rng.u8(..)).collect();
    let other: Vec<u8> = (0..50_000).map(|_| rng.u8(..)).collect();
    assert!(delta(&base, &other).is_none());
    let past_the_end = DeltaStep { from: 49_990, length: 11, insert: Bytes::default() };
    assert!(patched(&base, &List(vec![past_the_end]), usize::MAX).is_none());
    let too_long = vec![DeltaStep { from: 0, length: 40_000, insert: Bytes::default() }; 3];
    assert!(patched(&base, &List(too_long), 100_000).is_none());
}
