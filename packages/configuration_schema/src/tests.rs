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
fn every_reason_is_told_with_its_path() {
    assert!(check(&small_document()).is_ok());
    let mut bad_shape = small_document();
    bad_shape["allowances"]["all"]["weight"] = json!(0);
    bad_shape["lanes"]["proofs"]["path_prefix"] = json!("proof");
    bad_shape["surprise"] = json!(1);
    let bad_paths = paths(&bad_shape);
    for wanted_path in ["/allowances/all/weight", "/lanes/proofs/path_prefix", ""] {
        assert!(bad_paths.contains(&wanted_path.to_owned()), "{wanted_path} in {bad_paths:?}");
    }
    let mut bad_meaning = small_document();
    bad_meaning["allowances"]["all"]["parent"] = json!("busy");
    bad_meaning["functions"]["other"] =
        json!({ "allowance": "none", "cell_memory_mb": 1, "calls_at_once": 1 });
    bad_meaning["lanes"]["twin"] = json!({ "function": "ghost", "path_prefix": "/proof/" });
    assert_eq!(
        paths(&bad_meaning),
        [
            "/allowances/all/parent",
            "/allowances/busy/parent",
            "/functions/other/allowance",
            "/lanes/twin/function",
            "/lanes/twin/path_prefix"
        ]
    );
    let mut bad_floors = small_document();
    bad_floors["allowances"]["all"]["memory_ceiling_mb"] = json!(100);
    bad_floors["allowances"]["busy"]["memory_floor_mb"] = json!(200);
    assert_eq!(paths(&bad_floors), ["/allowances/all/memory_ceiling_mb"]);
}

/// A document with tenants, each with its keys.
fn document_of_tenants(tenants: &[(&str, &[&str])]) -> Value {
    let mut document = small_document();
    for (name, keys) in tenants {
        document["tenants"][name] = json!({ "keys": keys });
    }
    document
}

/// Guards against CONFIG on the duties: an invalid configuration was taken, and every proper one after it was
/// refused as built on another version.
#[test]
fn tenants_that_share_a_key_are_refused_without_naming_it() {
    let shared =
        document_of_tenants(&[("acme", &["k-a", "k-shared"]), ("zeta", &["k-z", "k-y", "k-shared"])]);
    let reasons = check(&shared).expect_err("refused");
    assert_eq!(reasons, [Reason::at("/tenants/zeta/keys/2", "tenant acme has this key too")]);
    // All of them are told, each beside the tenant that had the key first.
    let thrice = document_of_tenants(&[("a", &["k", "l"]), ("b", &["k"]), ("c", &["l", "k"])]);
    assert_eq!(paths(&thrice), ["/tenants/b/keys/0", "/tenants/c/keys/0", "/tenants/c/keys/1"]);
    // A key that its own tenant lists twice tells no other tenant: it is taken, and read back as sent.
    assert!(check(&document_of_tenants(&[("acme", &["k-a", "k-a"]), ("zeta", &[])])).is_ok());
}
