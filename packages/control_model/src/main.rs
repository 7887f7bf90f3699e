//! Explores each set of limits to a depth, then runs random walks.

use control_model::{Counts, Failure, Limits, explore, walk};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

xflags::xflags! {
    /// Explores the control state's registers.
    cmd control-model {
        /// Breadth-first depth; 14 if not given.
        optional --depth depth: usize
        /// No level is begun beyond so many states; 4000000 if not given.
        optional --states states: usize
        /// How many walks; 10000 if not given.
        optional --walks walks: u64
        /// Steps of each walk; 1500 if not given.
        optional --length length: usize
        /// The first walk's seed; 1 if not given.
        optional --from from: u64
        /// Threads; 4 if not given.
        optional --threads threads: usize
    }
}

fn main() -> ExitCode {
    let command_line = ControlModel::from_env_or_exit();
    let threads = command_line.threads.unwrap_or(4);
    let explorations = [
        ("racing_writes", Limits::racing_writes()),
        ("racing_changes", Limits::racing_changes()),
        ("racing_sets", Limits::racing_sets()),
        ("power_losses", Limits::power_losses()),
    ];
    let mut is_sound = true;
    for (name, limits) in explorations {
        let began = Instant::now();
        let most_states = command_line.states.unwrap_or(4_000_000);
        let found = explore(&limits, command_line.depth.unwrap_or(14), most_states, threads);
        let whole = if found.is_whole { ", all there are" } else { "" };
        println!(
            "{name}: {} states to depth {}{whole}, {:.1} s",
            found.states,
            found.depth,
            began.elapsed().as_secs_f64()
        );
        is_sound &= found.failure.as_ref().is_none_or(report);
    }
    let walks = command_line.walks.unwrap_or(10_000);
    let length = command_line.length.unwrap_or(1_500);
    is_sound &= walk_all(command_line.from.unwrap_or(1), walks, length, threads);
    if is_sound { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn report(failure: &Failure) -> bool {
    println!("  {:?}: {}", failure.violation.invariant, failure.violation.seen);
    for action in &failure.path {
        println!("    {action:?}");
    }
    false
}

fn walk_all(from: u64, walks: u64, length: usize, threads: usize) -> bool {
    let began = Instant::now();
    let limits = Limits::everything();
    let next_seed = AtomicU64::new(from);
    let mut total = Counts::default();
    let mut failures = Vec::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|_| {
                scope.spawn(|| {
                    let (mut counts, mut failures) = (Counts::default(), Vec::new());
                    loop {
                        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                        if seed >= from + walks {
                            return (counts, failures);
                        }
                        let walked = walk(&limits, seed, length);
                        counts.add(&walked.counts);
                        failures.extend(walked.failure);
                    }
                })
            })
            .collect();
        for worker in workers {
            let (counts, own_failures) = worker.join().expect("a worker's own panic");
            total.add(&counts);
            failures.extend(own_failures);
        }
    });
    println!("{walks} walks of {length}: {total:?}, {:.1} s", began.elapsed().as_secs_f64());
    println!("{} walks broken", failures.len());
    if let Some((seed, failure)) = failures.first() {
        println!("seed {seed}:");
        report(failure);
    }
    failures.is_empty()
}
