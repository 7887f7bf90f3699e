use super::*;
use configuration_check::Configuration;

fn configuration(text: &str) -> Configuration {
    let document = text.parse().expect("JSON");
    configuration_check::check(&document).expect("a checked document")
}

#[test]
fn floors_then_weights_up_to_the_demand_and_nothing_is_left_while_some_want() {
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
    let demand = |memory_mb| Demand { memory_mb, starts: 0.0 };
    let share = |demands: [f64; 4]| {
        let wanted =
            ["a", "b", "c", "d"].iter().map(|name| name.to_string()).zip(demands.map(demand)).collect();
        let shares = allowance_split(&tree, &wanted, Totals { memory_mb: 95.0, starts: 0.0 });
        ["a", "b", "c", "d"].map(|name| (shares[name].memory_mb * 100.0).round() / 100.0)
    };
    // 5 to the capped one, 30 to the floor, the other 60 by 3 to 1.
    assert_eq!(share([100.0, 100.0, 100.0, 100.0]), [30.0, 15.0, 45.0, 5.0]);
    // What one does not want goes to those that do.
    assert_eq!(share([100.0, 10.0, 0.0, 0.0]), [85.0, 10.0, 0.0, 0.0]);
    assert_eq!(share([1.0, 2.0, 3.0, 4.0]), [1.0, 2.0, 3.0, 4.0]);
}

#[test]
fn what_is_no_whole_cell_goes_to_a_sibling_that_can_use_it() {
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
        let wanted = wanted.map(|(name, memory_mb)| (name.to_string(), Demand { memory_mb, starts: 0.0 }));
        let shares = allowance_split(&tree, &wanted.collect(), Totals { memory_mb: 300.0, starts: 0.0 });
        ["a", "b", "c"].map(|name| shares[name].memory_mb)
    };
    let hungry = split([600.0; 3]);
    assert_eq!(hungry.iter().sum::<f64>(), 300.0, "five cells, not three: {hungry:?}");
    assert_eq!(split([60.0, 60.0, 60.0]), [60.0; 3]);
}
