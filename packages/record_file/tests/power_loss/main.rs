//! Power lost at every step of small histories, with every subset of the unsynced writes and name changes and
//! every tear point: all that was synced is found, in order, under the same disk id.

mod history;
mod memory_folder;

use history::{Expected, FLEET, Op, Records, run, shapes};
use memory_folder::{Fault, Files, MemoryFolder, WriteOutcome};
use record_file::{FILE_NAME, RecordFile};

/// Beyond so many combinations of fates one write is torn at a time, beside every plain fate of the others.
const COMBINATIONS_LIMIT: usize = 30_000;

/// Cases that were tried, and those that broke the rule.
#[derive(Debug, Default)]
struct RunCounts {
    cases: usize,
    failed: usize,
    first_failure: Option<String>,
}

impl RunCounts {
    fn note(&mut self, outcome: Result<Records, String>) -> Option<Records> {
        self.cases += 1;
        match outcome {
            Ok(records) => Some(records),
            Err(reason) => {
                self.failed += 1;
                self.first_failure.get_or_insert(reason);
                None
            }
        }
    }

    fn assert_sound(&self, what: &str) {
        println!("{what}: {} cases, {} failed", self.cases, self.failed);
        assert_eq!(self.failed, 0, "of {} cases; the first: {:?}", self.cases, self.first_failure);
    }
}

/// Opens the files; what is found must be as expected.
fn recover(folder: MemoryFolder, expected: &Expected) -> Result<Records, String> {
    let (file, found) = RecordFile::open_in(folder, FLEET)
        .map_err(|failure| format!("{:?}, expected {expected:?}", failure.current_context()))?;
    if expected.disk.is_some_and(|disk| disk != file.disk()) {
        return Err("the disk has another id".to_owned());
    }
    match expected.complaint(&found) {
        None => Ok(found),
        Some(complaint) => Err(complaint),
    }
}

/// What was found is answered for: it lasts at once, and what is appended to it lasts with it.
fn recover_and_go_on(files: &Files, expected: &Expected) -> Result<Records, String> {
    let folder = MemoryFolder::with(files.clone());
    let found = recover(folder.clone(), expected)?;
    let mut lasting = expected.clone();
    lasting.recovered(&found);
    recover(MemoryFolder::with(folder.files().after_full_loss()), &lasting)?;
    let (mut file, _) = RecordFile::open_in(folder.clone(), FLEET).map_err(|failure| failure.to_string())?;
    for op in [Op::Append(1), Op::Sync] {
        lasting.action(&mut file, op);
    }
    recover(MemoryFolder::with(folder.files().after_full_loss()), &lasting)?;
    Ok(found)
}

/// Combinations of one fate for each write.
fn combinations(choices: &[Vec<WriteOutcome>]) -> Vec<Vec<WriteOutcome>> {
    let mut found = vec![Vec::new()];
    for choice in choices {
        found = found
            .iter()
            .flat_map(|begun| {
                choice.iter().map(move |write_outcome| [&begun[..], &[*write_outcome]].concat())
            })
            .collect();
    }
    found
}

fn plain_write_outcomes(lengths: &[usize]) -> Vec<Vec<WriteOutcome>> {
    combinations(&lengths.iter().map(|_| WriteOutcome::plain()).collect::<Vec<_>>())
}

fn all_write_outcomes(lengths: &[usize]) -> Vec<Vec<WriteOutcome>> {
    let every: Vec<Vec<WriteOutcome>> = lengths.iter().map(|length| WriteOutcome::all(*length)).collect();
    if every.iter().map(Vec::len).product::<usize>() <= COMBINATIONS_LIMIT {
        return combinations(&every);
    }
    let one_torn = (0..lengths.len()).flat_map(|torn| {
        let choices: Vec<Vec<WriteOutcome>> = (0..lengths.len())
            .map(|place| if place == torn { every[place].clone() } else { WriteOutcome::plain() })
            .collect();
        combinations(&choices)
    });
    one_torn.collect()
}

/// Every state that a loss of power may leave.
fn losses(files: &Files, write_outcomes: fn(&[usize]) -> Vec<Vec<WriteOutcome>>) -> Vec<Files> {
    let mut left = Vec::new();
    for kept in files.name_choices() {
        for write_outcomes in write_outcomes(&files.unsynced(&kept, FILE_NAME)) {
            left.push(files.after_power_loss(&kept, FILE_NAME, &write_outcomes));
        }
    }
    left
}

/// The files, and what is expected of them, with the machine ended at each step of a history.
fn cut_points(history: &[Op]) -> Vec<(Files, Expected)> {
    let whole = MemoryFolder::default();
    run(&whole, history);
    (0..=whole.steps())
        .map(|steps| {
            let folder = MemoryFolder::ending_after(Files::default(), steps);
            let expected = run(&folder, history);
            (folder.files(), expected)
        })
        .collect()
}

/// The files with the machine ended at each step of opening them.
fn recovery_cut_points(files: &Files) -> Vec<Files> {
    let whole = MemoryFolder::with(files.clone());
    let _ = RecordFile::open_in(whole.clone(), FLEET);
    (0..=whole.steps())
        .map(|steps| {
            let folder = MemoryFolder::ending_after(files.clone(), steps);
            let _ = RecordFile::open_in(folder.clone(), FLEET);
            folder.files()
        })
        .collect()
}

#[test]
fn every_loss_of_power_leaves_what_was_synced() {
    fastrand::seed(1);
    let mut run_counts = RunCounts::default();
    for history in shapes() {
        for (files, expected) in cut_points(&history) {
            for left in losses(&files, all_write_outcomes) {
                run_counts.note(recover_and_go_on(&left, &expected));
            }
        }
    }
    run_counts.assert_sound("one loss of power");
}

#[test]
fn a_second_loss_of_power_in_the_recovery_loses_nothing_either() {
    fastrand::seed(2);
    let mut run_counts = RunCounts::default();
    for history in shapes() {
        for (files, expected) in cut_points(&history) {
            for left in losses(&files, plain_write_outcomes) {
                for recovering in recovery_cut_points(&left) {
                    for left_again in losses(&recovering, plain_write_outcomes) {
                        run_counts.note(recover_and_go_on(&left_again, &expected));
                    }
                }
            }
        }
    }
    run_counts.assert_sound("two losses of power");
}

/// When the process ends files stand as they are; the next process's answers must last nevertheless.
#[test]
fn what_is_read_after_the_end_of_a_process_lasts() {
    fastrand::seed(3);
    let mut run_counts = RunCounts::default();
    for history in shapes() {
        for (files, expected) in cut_points(&history) {
            run_counts.note(recover_and_go_on(&files, &expected));
            for recovering in recovery_cut_points(&files) {
                for left in losses(&recovering, plain_write_outcomes) {
                    run_counts.note(recover_and_go_on(&left, &expected));
                }
            }
        }
    }
    run_counts.assert_sound("the end of a process, then a loss of power");
}

/// One operation fails, with its effect or without; what is acknowledged afterwards lasts.
#[test]
fn one_failed_operation_loses_nothing() {
    fastrand::seed(4);
    let mut run_counts = RunCounts::default();
    for history in shapes() {
        let whole = MemoryFolder::default();
        run(&whole, &history);
        for step in 0..whole.steps() {
            for has_effect in [false, true] {
                let folder = MemoryFolder::failing(Files::default(), Fault { step, has_effect });
                let expected = run(&folder, &history);
                for left in losses(&folder.files(), plain_write_outcomes) {
                    run_counts.note(recover_and_go_on(&left, &expected));
                }
                run_counts.note(recover_and_go_on(&folder.files(), &expected));
            }
        }
    }
    run_counts.assert_sound("one failed operation");
}

/// A disk that refuses at open: the records are told, and nothing is appended before a rewrite.
#[test]
fn a_file_that_cannot_be_written_at_open_is_not_trusted() {
    fastrand::seed(5);
    let folder = MemoryFolder::default();
    let expected = run(&folder, &[Op::Append(2), Op::Sync]);
    let whole = MemoryFolder::with(folder.files());
    recover(whole.clone(), &expected).expect("sound");
    for step in 0..whole.steps() {
        let failing = MemoryFolder::failing(folder.files(), Fault { step, has_effect: false });
        let (mut file, found) = RecordFile::open_in(failing.clone(), FLEET).expect("readable");
        assert!(!file.is_trusted());
        assert!(file.append(&found).is_err());
        assert!(file.sync().is_err());
        file.rewrite(&found).expect("the disk is sound again");
        file.sync().expect("trusted again");
        drop(file);
        let left = MemoryFolder::with(failing.files().after_full_loss());
        assert_eq!(recover(left, &expected).as_ref(), Ok(&found));
    }
}

/// Draws what a loss of power leaves, every fate by itself.
fn random_loss(
    files: &Files,
    source: &mut arbtest::arbitrary::Unstructured,
) -> arbtest::arbitrary::Result<Files> {
    let kept: Vec<bool> =
        (0..files.name_change_count()).map(|_| source.arbitrary()).collect::<Result<_, _>>()?;
    let mut write_outcomes = Vec::new();
    for length in files.unsynced(&kept, FILE_NAME) {
        write_outcomes.push(*source.choose(&WriteOutcome::all(length))?);
    }
    Ok(files.after_power_loss(&kept, FILE_NAME, &write_outcomes))
}

fn random_op(source: &mut arbtest::arbitrary::Unstructured) -> arbtest::arbitrary::Result<Op> {
    Ok(match source.int_in_range(0..=9)? {
        0..=4 => Op::Append(source.int_in_range(1..=3)?),
        5..=7 => Op::Sync,
        _ => Op::Rewrite(source.int_in_range(0..=3)?),
    })
}

/// A life of a disk: operations that fail, ends of the process and losses of power, again and again.
fn live(source: &mut arbtest::arbitrary::Unstructured) -> arbtest::arbitrary::Result<()> {
    let mut files = Files::default();
    let mut expected = Expected::new();
    for _ in 0..source.int_in_range(1..=5)? {
        let fault = Fault { step: source.int_in_range(0..=30)?, has_effect: source.arbitrary()? };
        let folder = MemoryFolder::failing(files, fault);
        if let Ok((mut file, found)) = RecordFile::open_in(folder.clone(), FLEET) {
            assert_eq!(expected.complaint(&found), None);
            assert!(expected.disk.is_none_or(|disk| disk == file.disk()));
            if file.is_trusted() {
                expected.recovered(&found);
                expected.disk = Some(file.disk());
            }
            for _ in 0..source.int_in_range(0..=8)? {
                expected.action(&mut file, random_op(source)?);
            }
            // A disk that was never trusted has told nobody its id.
            if file.is_trusted() {
                expected.disk = Some(file.disk());
            }
        }
        files = match source.arbitrary()? {
            true => random_loss(&folder.files(), source)?,
            false => folder.files(),
        };
    }
    let outcome = recover_and_go_on(&files, &expected);
    assert!(outcome.is_ok(), "{outcome:?}");
    Ok(())
}

const LIVES: u64 = 20_000;
/// Bytes that a life is drawn from; arbtest takes the length from a seed's lower half.
const LIFE_BYTES: u64 = 256;

/// One given seed makes arbtest run a single case: each life has its own, so that all are the same each time.
#[test]
fn whatever_happens_to_a_disk_acknowledged_records_last() {
    for number in 0..LIVES {
        fastrand::seed(number);
        arbtest::arbtest(live).seed(number << 32 | LIFE_BYTES);
    }
}
