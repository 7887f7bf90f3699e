//! A loss of power at every step of short histories, with every subset of the unsynced writes and name changes and
//! every tear point: all synced records must be read, in order and under the same disk id.

mod history;
mod memory_folder;

use history::{Expected, FLEET, Operation, Records, histories, run};
use memory_folder::{Fault, Files, MemoryFolder, WriteOutcome};
use record_file::{FILE_NAME, RecordFile};

/// Above this number of combinations of outcomes, only one write at a time is torn, combined with every plain outcome
/// of the others.
const COMBINATIONS_LIMIT: usize = 30_000;

/// The number of tested cases and of failed ones.
#[derive(Debug, Default)]
struct RunCounts {
    cases: usize,
    failed: usize,
    first_failure: Option<String>,
}

impl RunCounts {
    fn record(&mut self, outcome: Result<Records, String>) -> Option<Records> {
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

    fn assert_none_failed(&self, what: &str) {
        println!("{what}: {} cases, {} failed", self.cases, self.failed);
        assert_eq!(self.failed, 0, "of {} cases; the first: {:?}", self.cases, self.first_failure);
    }
}

/// Opens the file; the records that are read must be among those expected.
fn recover(folder: MemoryFolder, expected: &Expected) -> Result<Records, String> {
    let (file, found) = RecordFile::open_in(folder, FLEET)
        .map_err(|failure| format!("{:?}, expected {expected:?}", failure.current_context()))?;
    if expected.disk.is_some_and(|disk| disk != file.disk()) {
        return Err("the disk id has changed".to_owned());
    }
    match expected.violation(&found) {
        None => Ok(found),
        Some(violation) => Err(violation),
    }
}

/// After a recovery the records that were read must be durable at once, and those appended later as well.
fn recover_and_append(files: &Files, expected: &Expected) -> Result<Records, String> {
    let folder = MemoryFolder::with(files.clone());
    let found = recover(folder.clone(), expected)?;
    let mut durable = expected.clone();
    durable.recovered(&found);
    recover(MemoryFolder::with(folder.files().after_full_loss()), &durable)?;
    let (mut file, _) = RecordFile::open_in(folder.clone(), FLEET).map_err(|failure| failure.to_string())?;
    for operation in [Operation::Append(1), Operation::Sync] {
        durable.perform(&mut file, operation);
    }
    recover(MemoryFolder::with(folder.files().after_full_loss()), &durable)?;
    Ok(found)
}

/// All combinations of one outcome for each write.
fn combinations(choices: &[Vec<WriteOutcome>]) -> Vec<Vec<WriteOutcome>> {
    let mut found = vec![Vec::new()];
    for choice in choices {
        found = found
            .iter()
            .flat_map(|prefix| {
                choice.iter().map(move |write_outcome| [&prefix[..], &[*write_outcome]].concat())
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

/// All states that a loss of power may leave.
fn states_after_loss(files: &Files, write_outcomes: fn(&[usize]) -> Vec<Vec<WriteOutcome>>) -> Vec<Files> {
    let mut remaining = Vec::new();
    for kept in files.name_choices() {
        for write_outcomes in write_outcomes(&files.unsynced(&kept, FILE_NAME)) {
            remaining.push(files.after_power_loss(&kept, FILE_NAME, &write_outcomes));
        }
    }
    remaining
}

/// The files and the expected records with the machine stopped at each step of a history.
fn cut_points(history: &[Operation]) -> Vec<(Files, Expected)> {
    let complete = MemoryFolder::default();
    run(&complete, history);
    (0..=complete.steps())
        .map(|steps| {
            let folder = MemoryFolder::ending_after(Files::default(), steps);
            let expected = run(&folder, history);
            (folder.files(), expected)
        })
        .collect()
}

/// The files with the machine stopped at each step of opening them.
fn recovery_cut_points(files: &Files) -> Vec<Files> {
    let complete = MemoryFolder::with(files.clone());
    let _ = RecordFile::open_in(complete.clone(), FLEET);
    (0..=complete.steps())
        .map(|steps| {
            let folder = MemoryFolder::ending_after(files.clone(), steps);
            let _ = RecordFile::open_in(folder.clone(), FLEET);
            folder.files()
        })
        .collect()
}

#[test]
fn synced_records_survive_every_loss_of_power() {
    fastrand::seed(1);
    let mut run_counts = RunCounts::default();
    for history in histories() {
        for (files, expected) in cut_points(&history) {
            for remaining in states_after_loss(&files, all_write_outcomes) {
                run_counts.record(recover_and_append(&remaining, &expected));
            }
        }
    }
    run_counts.assert_none_failed("one loss of power");
}

#[test]
fn synced_records_survive_a_second_loss_of_power_during_recovery() {
    fastrand::seed(2);
    let mut run_counts = RunCounts::default();
    for history in histories() {
        for (files, expected) in cut_points(&history) {
            for remaining in states_after_loss(&files, plain_write_outcomes) {
                for recovering_files in recovery_cut_points(&remaining) {
                    for remaining_again in states_after_loss(&recovering_files, plain_write_outcomes) {
                        run_counts.record(recover_and_append(&remaining_again, &expected));
                    }
                }
            }
        }
    }
    run_counts.assert_none_failed("two losses of power");
}

/// The end of a process leaves unsynced writes readable: records that the next process reads must be durable
/// nevertheless.
#[test]
fn records_read_after_the_end_of_a_process_are_durable() {
    fastrand::seed(3);
    let mut run_counts = RunCounts::default();
    for history in histories() {
        for (files, expected) in cut_points(&history) {
            run_counts.record(recover_and_append(&files, &expected));
            for recovering_files in recovery_cut_points(&files) {
                for remaining in states_after_loss(&recovering_files, plain_write_outcomes) {
                    run_counts.record(recover_and_append(&remaining, &expected));
                }
            }
        }
    }
    run_counts.assert_none_failed("the end of a process, then a loss of power");
}

/// One operation fails, with or without having its effect: records that are acknowledged afterwards must be durable.
#[test]
fn one_failed_operation_loses_no_acknowledged_records() {
    fastrand::seed(4);
    let mut run_counts = RunCounts::default();
    for history in histories() {
        let complete = MemoryFolder::default();
        run(&complete, &history);
        for step in 0..complete.steps() {
            for has_effect in [false, true] {
                let folder = MemoryFolder::failing(Files::default(), Fault { step, has_effect });
                let expected = run(&folder, &history);
                for remaining in states_after_loss(&folder.files(), plain_write_outcomes) {
                    run_counts.record(recover_and_append(&remaining, &expected));
                }
                run_counts.record(recover_and_append(&folder.files(), &expected));
            }
        }
    }
    run_counts.assert_none_failed("one failed operation");
}

/// A disk that fails writes when the file is opened: the records are returned, and appends are refused until a
/// rewrite has succeeded.
#[test]
fn a_file_that_cannot_be_written_at_open_is_not_trusted() {
    fastrand::seed(5);
    let folder = MemoryFolder::default();
    let expected = run(&folder, &[Operation::Append(2), Operation::Sync]);
    let complete = MemoryFolder::with(folder.files());
    recover(complete.clone(), &expected).expect("no damage");
    for step in 0..complete.steps() {
        let failing = MemoryFolder::failing(folder.files(), Fault { step, has_effect: false });
        let (mut file, found) = RecordFile::open_in(failing.clone(), FLEET).expect("readable");
        assert!(!file.is_trusted());
        assert!(file.append(&found).is_err());
        assert!(file.sync().is_err());
        file.rewrite(&found).expect("the disk works again");
        file.sync().expect("trusted again");
        drop(file);
        let remaining = MemoryFolder::with(failing.files().after_full_loss());
        assert_eq!(recover(remaining, &expected).as_ref(), Ok(&found));
    }
}

/// A random state that a loss of power may leave, with an independent outcome for each write.
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

fn random_operation(source: &mut arbtest::arbitrary::Unstructured) -> arbtest::arbitrary::Result<Operation> {
    Ok(match source.int_in_range(0..=9)? {
        0..=4 => Operation::Append(source.int_in_range(1..=3)?),
        5..=7 => Operation::Sync,
        _ => Operation::Rewrite(source.int_in_range(0..=3)?),
    })
}

/// A random sequence of failed operations, ends of the process and losses of power on one disk.
fn test_random_disk_history(source: &mut arbtest::arbitrary::Unstructured) -> arbtest::arbitrary::Result<()> {
    let mut files = Files::default();
    let mut expected = Expected::new();
    for _ in 0..source.int_in_range(1..=5)? {
        let fault = Fault { step: source.int_in_range(0..=30)?, has_effect: source.arbitrary()? };
        let folder = MemoryFolder::failing(files, fault);
        if let Ok((mut file, found)) = RecordFile::open_in(folder.clone(), FLEET) {
            assert_eq!(expected.violation(&found), None);
            assert!(expected.disk.is_none_or(|disk| disk == file.disk()));
            if file.is_trusted() {
                expected.recovered(&found);
                expected.disk = Some(file.disk());
            }
            for _ in 0..source.int_in_range(0..=8)? {
                expected.perform(&mut file, random_operation(source)?);
            }
            // The id of a disk that was never trusted has not been reported to anyone.
            if file.is_trusted() {
                expected.disk = Some(file.disk());
            }
        }
        files = match source.arbitrary()? {
            true => random_loss(&folder.files(), source)?,
            false => folder.files(),
        };
    }
    let outcome = recover_and_append(&files, &expected);
    assert!(outcome.is_ok(), "{outcome:?}");
    Ok(())
}

const RANDOM_HISTORIES: u64 = 20_000;
/// The number of random bytes for one history; arbtest takes it from the lower half of the seed.
const HISTORY_BYTES: u64 = 256;

/// With a given seed arbtest runs a single case. Each history has its own seed, so that every run tests the same
/// histories.
#[test]
fn acknowledged_records_survive_random_faults() {
    for number in 0..RANDOM_HISTORIES {
        fastrand::seed(number);
        arbtest::arbtest(test_random_disk_history).seed(number << 32 | HISTORY_BYTES);
    }
}
