//! Runs simulated scenarios over many seeds and prints the violated rules.

use fleet_simulator::scenarios;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

xflags::xflags! {
    /// Runs scenarios of the fleet simulator.
    cmd simulate {
        /// One scenario; all if not given.
        optional --scenario scenario: String
        /// The first seed; 1 if not given.
        optional --from from: u64
        /// How many seeds; 10 if not given.
        optional --seeds seeds: u64
        /// Writes the history of the first seed's run, as JSON lines.
        optional --history history: PathBuf
    }
}

fn main() -> ExitCode {
    let command_line = Simulate::from_env_or_exit();
    let names: Vec<&str> = match &command_line.scenario {
        None => scenarios::NAMES.to_vec(),
        Some(name) => match scenarios::NAMES.iter().find(|known| *known == name) {
            Some(known) => vec![*known],
            None => {
                eprintln!("no scenario {name}; there are {}", scenarios::NAMES.join(", "));
                return ExitCode::from(2);
            }
        },
    };
    let from = command_line.from.unwrap_or(1);
    let seeds = command_line.seeds.unwrap_or(10);
    let mut all_rules_held = true;
    if let Some(path) = &command_line.history {
        let Some(verdict) = names.first().and_then(|name| scenarios::run(name, from)) else {
            return ExitCode::from(2);
        };
        let lines = verdict.lines.iter().filter_map(|line| serde_json::to_string(line).ok());
        if let Err(error) = std::fs::write(path, lines.map(|line| line + "\n").collect::<String>()) {
            eprintln!("--history {}: {error}", path.display());
            return ExitCode::from(2);
        }
    }
    for name in names {
        let next_seed = AtomicU64::new(from);
        let thread_count = std::thread::available_parallelism().map_or(1, usize::from);
        let mut verdicts = Vec::new();
        std::thread::scope(|scope| {
            let workers: Vec<_> = (0..thread_count)
                .map(|_| {
                    scope.spawn(|| {
                        let mut own = Vec::new();
                        loop {
                            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                            if seed >= from + seeds {
                                return own;
                            }
                            own.push((seed, scenarios::run(name, seed)));
                        }
                    })
                })
                .collect();
            for worker in workers {
                match worker.join() {
                    Ok(own) => verdicts.extend(own),
                    Err(_) => {
                        println!("{name}: a run panicked");
                        all_rules_held = false;
                    }
                }
            }
        });
        verdicts.sort_by_key(|(seed, _)| *seed);
        let mut outcomes = [0u64; 4];
        let mut figures: Vec<(&str, Vec<f64>)> = Vec::new();
        let mut refusals: BTreeMap<String, u64> = BTreeMap::new();
        let mut violated_runs = 0;
        // Number of runs in which each rule was violated.
        let mut runs_by_violated_rule: BTreeMap<&str, u64> = BTreeMap::new();
        for (seed, verdict) in verdicts {
            let Some(verdict) = verdict else { continue };
            for (total, count) in outcomes.iter_mut().zip(verdict.outcomes) {
                *total += count;
            }
            for (reason, count) in verdict.refusals {
                *refusals.entry(reason).or_default() += count;
            }
            for (figure, value) in verdict.figures {
                match figures.iter_mut().find(|(known, _)| *known == figure) {
                    Some((_, values)) => values.push(value),
                    None => figures.push((figure, vec![value])),
                }
            }
            if !verdict.violations.is_empty() {
                violated_runs += 1;
                all_rules_held = false;
                let mut reported: BTreeSet<&str> = BTreeSet::new();
                for violation in verdict.violations.iter().filter(|violation| reported.insert(violation.rule))
                {
                    *runs_by_violated_rule.entry(violation.rule).or_default() += 1;
                    println!("  {name} seed {seed}: {}: {}", violation.rule, violation.seen);
                }
            }
        }
        let [ran, not_run, unknown, no_response] = outcomes;
        let mut line = format!(
            "{name}: {violated_runs} of {seeds} broken; ran {ran}, refused {not_run}, unknown {unknown}, no answer {no_response}"
        );
        for (figure, mut values) in figures {
            values.sort_by(f64::total_cmp);
            let median = values[values.len() / 2];
            let most = values[values.len() - 1];
            line.push_str(&format!("; {figure} median {median:.1} most {most:.1}"));
        }
        println!("{line}");
        for (rule, count) in runs_by_violated_rule {
            println!("    {count} of {seeds} broke: {rule}");
        }
        for (reason, count) in refusals {
            println!("    {count} refused: {reason}");
        }
    }
    if all_rules_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
