use super::*;

#[test]
fn check_names_every_wrong_field() {
    let sound = r#"
        zone = "a"
        visitor_address = "127.0.0.1:8080"
        control_address = "127.0.0.1:8081"
        colleague_address = "127.0.0.1:8082"
        platform_address = "127.0.0.1:9000"
    "#;
    let parse = |text: &str| toml::from_str::<SettingsFile>(text).expect("TOML");
    assert!(validate(parse(sound)).is_ok());
    let broken = format!(
        "{sound}\nseeds = [\"nowhere\"]\nlease_millis = 10\nlog_level = \"loud\"\nfounding_disks = 0\n"
    );
    let fields: Vec<&str> =
        validate(parse(&broken)).expect_err("refused").into_iter().map(|(field, _)| field).collect();
    assert_eq!(fields, ["seeds", "log_level", "lease_millis", "renewal_millis", "founding_disks"]);
    assert_eq!(validate(SettingsFile::default()).expect_err("refused").len(), 5);
    assert!(toml::from_str::<SettingsFile>("zoen = \"a\"").is_err());
}

#[test]
fn usage_settings_depend_on_the_window_and_have_defaults() {
    let parse = |more: &str| {
        let sound = r#"
            zone = "a"
            visitor_address = "127.0.0.1:8080"
            control_address = "127.0.0.1:8081"
            colleague_address = "127.0.0.1:8082"
            platform_address = "127.0.0.1:9000"
        "#;
        validate(toml::from_str::<SettingsFile>(&format!("{sound}\n{more}")).expect("TOML"))
    };
    assert_eq!(parse("").expect("sound").usage, None);
    let usage = parse("usage_window_seconds = 5.0").expect("sound").usage.expect("named");
    assert_eq!((usage.window, usage.delay), (Micros::from_secs(5), Micros::from_secs(10)));
    assert_eq!(usage.action_lease, Micros::from_millis(3_000));
    let fields = |more: &str| -> Vec<&str> {
        parse(more).expect_err("refused").into_iter().map(|(field, _)| field).collect()
    };
    assert_eq!(fields("usage_window_seconds = 0.0"), ["usage_window_seconds", "usage_delay_seconds"]);
    assert_eq!(fields("usage_delay_seconds = 9.0"), ["usage_delay_seconds"]);
}
