use super::*;

fn functions() -> Vec<String> {
    ["batch", "proof", "rush"].map(str::to_owned).to_vec()
}

#[test]
fn followers_receive_renewals_by_index_and_other_changes_in_full() {
    let mut observed = ObservedRecords::default();
    observed.observe("batch", 4, &Bytes(vec![1]));
    observed.observe("rush", 7, &Bytes(vec![2]));
    let (records, renewed) = observed.since(&functions(), 0);
    assert_eq!((records.len(), renewed.len()), (2, 0), "a follower without records receives all of them");
    let received = observed.change_count;
    assert_eq!(observed.since(&functions(), received), (Vec::new(), Vec::new()));
    observed.record_renewal("rush", 8);
    observed.record_renewal("proof", 3);
    let (records, renewed) = observed.since(&functions(), received);
    assert!(records.is_empty(), "a renewal of a record that was never polled is ignored");
    assert_eq!(renewed, [RenewedRecord { index: 2, version: 8 }]);
    observed.observe("rush", 9, &Bytes(vec![3]));
    observed.record_renewal("rush", 10);
    let (records, _) = observed.since(&functions(), received);
    assert_eq!(
        (records[0].version, &records[0].value),
        (10, &Bytes(vec![3])),
        "a new holder and a later renewal"
    );
}

#[test]
fn an_older_version_never_replaces_an_observed_record() {
    let mut observed = ObservedRecords::default();
    observed.observe("batch", 4, &Bytes(vec![1]));
    let received = observed.change_count;
    observed.observe("batch", 3, &Bytes(vec![9]));
    observed.record_renewal("batch", 4);
    assert_eq!(observed.since(&functions(), received), (Vec::new(), Vec::new()));
}
