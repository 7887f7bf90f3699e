//! The example document on the operators' page is valid.

use configuration_schema::check;

const PAGE: &str = include_str!("../../../docs/operators/configuration.md");

#[test]
fn example_on_the_operators_page_is_valid() {
    let lines = PAGE
        .lines()
        .skip_while(|line| !line.starts_with("    {"))
        .take_while(|line| line.starts_with("    "));
    let document: String = lines.collect();
    let configuration = check(&document.parse().expect("JSON")).expect("a valid document");
    assert_eq!(configuration.tenants.expect("tenants")["acme"].keys.len(), 2);
    assert!(configuration.routes["status"].is_public);
}
