use super::*;
use serde_json::json;

pub(crate) fn small_document() -> Value {
    json!({
        "allowances": { "all": { "weight": 1 }, "busy": { "parent": "all", "weight": 3 } },
        "functions": { "proof": { "allowance": "busy", "cell_memory_mb": 600, "calls_at_once": 4 } },
        "lanes": { "proofs": { "function": "proof", "path_prefix": "/proof" } }
    })
}

fn paths(document: &Value) -> Vec<String> {
    check(document).expect_err("a refused document").into_iter().map(|reason| reason.path).collect()
}

#[test]
fn all_reasons_are_reported_with_their_paths() {
    assert!(check(&small_document()).is_ok());
    let mut schema_violation = small_document();
    schema_violation["allowances"]["all"]["weight"] = json!(0);
    schema_violation["lanes"]["proofs"]["path_prefix"] = json!("proof");
    schema_violation["surprise"] = json!(1);
    let reported_paths = paths(&schema_violation);
    for expected_path in ["/allowances/all/weight", "/lanes/proofs/path_prefix", ""] {
        assert!(reported_paths.contains(&expected_path.to_owned()), "{expected_path} in {reported_paths:?}");
    }
    let mut invalid_references = small_document();
    invalid_references["allowances"]["all"]["parent"] = json!("busy");
    invalid_references["functions"]["other"] =
        json!({ "allowance": "none", "cell_memory_mb": 1, "calls_at_once": 1 });
    invalid_references["lanes"]["twin"] = json!({ "function": "ghost", "path_prefix": "/proof/" });
    assert_eq!(
        paths(&invalid_references),
        [
            "/allowances/all/parent",
            "/allowances/busy/parent",
            "/functions/other/allowance",
            "/lanes/twin/function",
            "/lanes/twin/path_prefix"
        ]
    );
    let mut invalid_floors = small_document();
    invalid_floors["allowances"]["all"]["memory_ceiling_mb"] = json!(100);
    invalid_floors["allowances"]["busy"]["memory_floor_mb"] = json!(200);
    assert_eq!(paths(&invalid_floors), ["/allowances/all/memory_ceiling_mb"]);
}

/// Guards against a valid configuration that is refused: prefixes that differ by more than one slash at their end take
/// different paths.
#[test]
fn prefixes_that_take_different_paths_are_no_twins() {
    for (first, second, is_accepted) in [
        ("/proof", "/proof/", false),
        ("/proof/", "/proof/", false),
        ("/", "/", false),
        ("/proof/", "/proof//", true),
        ("/proof", "/proof//", true),
        ("/", "//", true),
    ] {
        let mut document = small_document();
        document["lanes"] = json!({
            "first": { "function": "proof", "path_prefix": first },
            "second": { "function": "proof", "path_prefix": second }
        });
        assert_eq!(check(&document).is_ok(), is_accepted, "{first} beside {second}");
    }
}

/// The small document with these tenants and their keys.
fn document_of_tenants(tenants: &[(&str, &[&str])]) -> Value {
    let mut document = small_document();
    for (name, keys) in tenants {
        document["tenants"][name] = json!({ "keys": keys });
    }
    document
}

/// Guards against violations of the rule CONFIG: an invalid configuration was accepted, and every valid one after it
/// was refused because it was based on another version.
#[test]
fn tenants_that_share_a_key_are_refused_without_naming_it() {
    let shared =
        document_of_tenants(&[("acme", &["k-a", "k-shared"]), ("zeta", &["k-z", "k-y", "k-shared"])]);
    let reasons = check(&shared).expect_err("refused");
    assert_eq!(reasons, [Reason::at("/tenants/zeta/keys/2", "tenant acme has this key too")]);
    // All shared keys are reported, each with the first tenant that has the key.
    let shared_by_three = document_of_tenants(&[("a", &["k", "l"]), ("b", &["k"]), ("c", &["l", "k"])]);
    assert_eq!(paths(&shared_by_three), ["/tenants/b/keys/0", "/tenants/c/keys/0", "/tenants/c/keys/1"]);
    // A key that its own tenant lists twice still identifies one tenant: it is accepted, and read back as sent.
    assert!(check(&document_of_tenants(&[("acme", &["k-a", "k-a"]), ("zeta", &[])])).is_ok());
}
