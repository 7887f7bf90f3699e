use super::*;
use fastrand::Rng;

fn lines(count: usize) -> Vec<String> {
    let line = |number: usize| format!("\"route-{number}\":{{\"host\":\"h{}\",\"rank\":2}},", number * 7);
    (0..count).map(line).collect()
}

#[test]
fn changed_items_cost_little_and_come_out_exactly() {
    let base = lines(4_000).concat().into_bytes();
    for random_seed in 0..40 {
        let mut rng = Rng::with_seed(random_seed);
        let mut next_lines = lines(4_000);
        for _ in 0..10 {
            let place = rng.usize(..next_lines.len());
            match rng.u8(..3) {
                0 => next_lines[place] = "\"changed\":{\"host\":\"other\"},".to_owned(),
                1 => {
                    next_lines.remove(place);
                }
                _ => next_lines.insert(place, "\"added\":{},".to_owned()),
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
fn bodies_of_any_shape_come_out_exactly_or_not_at_all() {
    for random_seed in 0..300 {
        let mut rng = Rng::with_seed(random_seed);
        let base: Vec<u8> = (0..rng.usize(..600)).map(|_| rng.u8(..4)).collect();
        let mut next = base.clone();
        for _ in 0..rng.usize(..4) {
            let place = rng.usize(..=next.len());
            next.splice(place..place, (0..rng.usize(..9)).map(|_| rng.u8(..4)));
        }
        if let Some(steps) = delta(&base, &next) {
            assert_eq!(patched(&base, &steps, next.len()).expect("fits"), next, "seed {random_seed}");
        }
    }
}

#[test]
fn another_body_altogether_has_no_delta_and_lying_steps_make_no_body() {
    let mut rng = Rng::with_seed(1);
    let base: Vec<u8> = (0..50_000).map(|_| rng.u8(..)).collect();
    let other: Vec<u8> = (0..50_000).map(|_| rng.u8(..)).collect();
    assert!(delta(&base, &other).is_none());
    let beyond = DeltaStep { from: 49_990, length: 11, insert: Bytes::default() };
    assert!(patched(&base, &List(vec![beyond]), usize::MAX).is_none());
    let too_long = vec![DeltaStep { from: 0, length: 40_000, insert: Bytes::default() }; 3];
    assert!(patched(&base, &List(too_long), 100_000).is_none());
}
