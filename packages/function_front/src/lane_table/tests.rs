use super::*;

#[test]
fn the_longest_whole_prefix_and_the_narrower_lane_win() {
    let document = r#"{"allowances": {"all": {"weight": 1}},
        "functions": {"f": {"allowance": "all", "cell_memory_mb": 1, "calls_at_once": 1}},
        "lanes": {"root": {"function": "f", "path_prefix": "/"},
            "proof": {"function": "f", "path_prefix": "/proof"},
            "posted": {"function": "f", "path_prefix": "/proof", "methods": ["POST"]},
            "hosted": {"function": "f", "path_prefix": "/proof/", "host": "rush.example"},
            "deep": {"function": "f", "path_prefix": "/proof/rush"}}}"#;
    let configuration =
        configuration_check::check(&document.parse().expect("JSON")).expect("a checked document");
    let table = LaneTable::new(1, &configuration);
    let name = |method, host, path| table.find(method, host, path).map(|row| row.name.as_str());
    assert_eq!(name("GET", None, "/proof/1"), Some("proof"));
    assert_eq!(name("POST", None, "/proof"), Some("posted"));
    assert_eq!(name("POST", Some("RUSH.example:80"), "/proof"), Some("hosted"));
    assert_eq!(name("GET", None, "/proof/rush/now"), Some("deep"));
    assert_eq!(name("GET", None, "/proofs"), Some("root"));
    assert_eq!(name("GET", None, "/proof/../admin"), None);
    assert_eq!(LaneTable::default().find("GET", None, "/"), None);
}
