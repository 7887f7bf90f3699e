use super::*;
use configuration_schema::Configuration;

fn configuration(text: &str) -> Configuration {
    let document = text.parse().expect("JSON");
    configuration_schema::check(&document).expect("a checked document")
}

#[test]
fn memory_goes_to_floors_then_by_weight_and_none_is_left_unused_while_demand_is_unmet() {
    let tree = configuration(
        r#"{"allowances": {"all": {"weight": 1},
            "busy": {"parent": "all", "weight": 3},
            "rare": {"parent": "all", "weight": 1, "memory_floor_mb": 30},
            "capped": {"parent": "all", "weight": 10, "memory_ceiling_mb": 5}},
          "functions": {
            "a": {"allowance": "busy", "weight": 2, "cell_memory_mb": 1, "calls_at_once": 1},
            "b": {"allowance": "busy", "weight": 1, "cell_memory_mb": 1, "calls_at_once": 1},
            "c": {"allowance": "rare", "cell_memory_mb": 1, "calls_at_once": 1},
            "d": {"allowance": "capped", "cell_memory_mb": 1, "calls_at_once": 1}},
          "lanes": {}}"#,
    );
    let demand = |memory_mb| Demand { memory_mb, ..Demand::default() };
    let share = |demands: [f64; 4]| {
        let wanted =
            ["a", "b", "c", "d"].iter().map(|name| name.to_string()).zip(demands.map(demand)).collect();
        let shares = quota_split(&tree, &wanted, Totals { memory_mb: 95.0, starts: 0.0 });
        ["a", "b", "c", "d"].map(|name| (shares[name].memory_mb * 100.0).round() / 100.0)
    };
    // 5 go to the capped quota, 30 to the floor, and the other 60 are split 3 to 1.
    assert_eq!(share([100.0, 100.0, 100.0, 100.0]), [30.0, 15.0, 45.0, 5.0]);
    // What one function does not want goes to the others.
    assert_eq!(share([100.0, 10.0, 0.0, 0.0]), [85.0, 10.0, 0.0, 0.0]);
    assert_eq!(share([1.0, 2.0, 3.0, 4.0]), [1.0, 2.0, 3.0, 4.0]);
}

#[test]
fn parts_too_small_for_an_instance_go_to_a_sibling_that_can_use_them() {
    let tree = configuration(
        r#"{"allowances": {"all": {"weight": 1}},
          "functions": {
            "a": {"allowance": "all", "cell_memory_mb": 60, "calls_at_once": 1},
            "b": {"allowance": "all", "cell_memory_mb": 60, "calls_at_once": 1},
            "c": {"allowance": "all", "cell_memory_mb": 60, "calls_at_once": 1}},
          "lanes": {}}"#,
    );
    let split = |demands: [f64; 3]| {
        let wanted = ["a", "b", "c"].iter().zip(demands);
        let wanted =
            wanted.map(|(name, memory_mb)| (name.to_string(), Demand { memory_mb, ..Demand::default() }));
        let shares = quota_split(&tree, &wanted.collect(), Totals { memory_mb: 300.0, starts: 0.0 });
        ["a", "b", "c"].map(|name| shares[name].memory_mb)
    };
    let starving = split([600.0; 3]);
    assert_eq!(starving.iter().sum::<f64>(), 300.0, "five instances, not three: {starving:?}");
    assert_eq!(split([60.0, 60.0, 60.0]), [60.0; 3]);
}

/// Splits memory between two functions of one quota; an instance takes 10 MB.
fn split_between_two(demands: [Demand; 2], total: f64) -> [f64; 2] {
    let tree = configuration(
        r#"{"allowances": {"all": {"weight": 1}},
          "functions": {
            "a": {"allowance": "all", "cell_memory_mb": 10, "calls_at_once": 1},
            "b": {"allowance": "all", "cell_memory_mb": 10, "calls_at_once": 1}},
          "lanes": {}}"#,
    );
    let wanted = ["a", "b"].iter().map(|name| name.to_string()).zip(demands).collect();
    let shares = quota_split(&tree, &wanted, Totals { memory_mb: total, starts: 0.0 });
    ["a", "b"].map(|name| shares.get(name).map_or(0.0, |share| share.memory_mb))
}

#[test]
fn current_calls_get_memory_before_warm_instances_and_those_before_spare_ones() {
    let calls = Demand { memory_mb: 80.0, warm_mb: 20.0, ..Demand::default() };
    let fast = Demand { memory_mb: 10.0, warm_mb: 60.0, ..Demand::default() };
    let uncalled = Demand { spare_mb: 100.0, ..Demand::default() };
    assert_eq!(split_between_two([calls, uncalled], 80.0), [80.0, 0.0], "all of it is needed for calls");
    assert_eq!(
        split_between_two([calls, uncalled], 90.0),
        [90.0, 0.0],
        "the remainder keeps a called function fast"
    );
    assert_eq!(
        split_between_two([calls, fast], 100.0),
        [80.0, 20.0],
        "memory needed for calls is not taken away"
    );
    let [called, spare] = split_between_two([calls, uncalled], 160.0);
    assert_eq!((called, spare), (100.0, 30.0), "half of the remainder stays free for later calls");
    assert_eq!(
        split_between_two([fast, fast], 200.0),
        [70.0, 70.0],
        "with enough memory all demands are met"
    );
}

#[test]
fn a_ceiling_applies_to_all_classes_of_demand_together() {
    let tree = configuration(
        r#"{"allowances": {"all": {"weight": 1}, "capped": {"parent": "all", "memory_ceiling_mb": 30, "weight": 1}},
          "functions": {
            "a": {"allowance": "capped", "cell_memory_mb": 10, "calls_at_once": 1},
            "b": {"allowance": "capped", "cell_memory_mb": 10, "calls_at_once": 1}},
          "lanes": {}}"#,
    );
    let called = Demand { memory_mb: 20.0, warm_mb: 20.0, ..Demand::default() };
    let uncalled = Demand { spare_mb: 20.0, ..Demand::default() };
    let wanted = BTreeMap::from([("a".to_owned(), called), ("b".to_owned(), uncalled)]);
    let shares = quota_split(&tree, &wanted, Totals { memory_mb: 500.0, starts: 0.0 });
    assert_eq!((shares["a"].memory_mb, shares["b"].memory_mb), (30.0, 0.0));
}
