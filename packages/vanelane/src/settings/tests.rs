use super::*;

#[test]
fn every_wrong_field_is_named() {
    let sound = r#"
        zone = "a"
        visitor_address = "127.0.0.1:8080"
        control_address = "127.0.0.1:8081"
        colleague_address = "127.0.0.1:8082"
        platform_address = "127.0.0.1:9000"
    "#;
    let parse = |text: &str| toml::from_str::<SettingsFile>(text).expect("TOML");
    assert!(checked(parse(sound)).is_ok());
    let broken = format!(
        "{sound}\nseeds = [\"nowhere\"]\nlease_millis = 10\nlog_level = \"loud\"\nfounding_disks = 0\n"
    );
    let fields: Vec<&str> =
        checked(parse(&broken)).expect_err("refused").into_iter().map(|(field, _)| field).collect();
    assert_eq!(fields, ["seeds", "log_level", "lease_millis", "renewal_millis", "founding_disks"]);
    assert_eq!(checked(SettingsFile::default()).expect_err("refused").len(), 5);
    assert!(toml::from_str::<SettingsFile>("zoen = \"a\"").is_err());
}
