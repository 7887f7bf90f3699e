//! Tenants' API keys at the gateway: which calls are admitted, what instances receive, and that keys are
//! sent nowhere else.

mod key_bench;
mod scripted_instance;

use actix_http::{StatusCode, header};
use configuration_schema::{Configuration, ConfigurationDelta};
use gateway::{GatewayMessage, Recorder};
use key_bench::{Bench, HeaderNames, HttpReply, request_bytes, routes};
use scripted_instance::{After, Reply, ScriptedInstance, valid_response};
use std::time::Duration;

const SEEDS: u64 = 200;

/// Two tenants with ranks, a private and a public route.
const WITH_TENANTS: &str = r#"
    "tenants": {"lomi": {"keys": ["key-of-lomi", "second-key-of-lomi"], "rank": 2},
        "fifi": {"keys": ["key-of-fifi"]}},
    "lanes": {"private": {"function": "f", "path_prefix": "/private", "repeatable": true, "rank": 3},
        "public": {"function": "f", "path_prefix": "/public", "is_public": true, "rank": 1}}"#;
const WITHOUT_TENANTS: &str = r#"
    "lanes": {"private": {"function": "f", "path_prefix": "/private"},
        "public": {"function": "f", "path_prefix": "/public", "is_public": true}}"#;

fn responding_instance() -> ScriptedInstance {
    ScriptedInstance::start(|_, id| Reply { bytes: valid_response(id), after: After::Next })
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// The text with each letter in random case.
fn random_case(rng: &mut fastrand::Rng, text: &str) -> String {
    text.chars().map(|letter| if rng.bool() { letter.to_ascii_uppercase() } else { letter }).collect()
}

/// Random optional white space around a header's value.
fn random_space(rng: &mut fastrand::Rng) -> &'static str {
    ["", " ", "\t", "  \t "][rng.usize(..4)]
}

/// One header line with its name in random case and random white space around its value.
fn random_line(rng: &mut fastrand::Rng, name: &str, value: &str) -> String {
    format!("{}:{}{value}{}", random_case(rng, name), random_space(rng), random_space(rng))
}

/// A request as sent, and its body.
struct RandomRequest {
    bytes: Vec<u8>,
    body: String,
}

/// A random request: with forged tenant headers, names listed in `Connection`, and a body with a declared
/// length or in chunks with trailers that name both headers.
fn random_request(
    rng: &mut fastrand::Rng,
    header_names: &HeaderNames,
    path: &str,
    key_lines: &[String],
) -> RandomRequest {
    let mut lines = key_lines.to_vec();
    for _ in 0..rng.u8(..3) {
        let forged = ["fifi", "lomi", "", "root", "lomi, fifi"][rng.usize(..5)];
        lines.push(random_line(rng, header_names.tenant, forged));
    }
    if rng.bool() {
        let listed = [header_names.api_key, header_names.tenant, "x-other"][rng.usize(..3)];
        lines.push(format!("Connection: keep-alive, {}", random_case(rng, listed)));
    }
    rng.shuffle(&mut lines);
    let body = "body".repeat(rng.usize(..4));
    if !rng.bool() {
        return RandomRequest { bytes: request_bytes(path, &lines, &body), body };
    }
    let api_key = random_case(rng, header_names.api_key);
    let tenant = random_case(rng, header_names.tenant);
    lines.push(format!("Trailer: {api_key}, {tenant}"));
    let trailers = format!("{api_key}: key-of-fifi\r\n{tenant}: forged-in-trailer\r\n");
    let chunk = if body.is_empty() { String::new() } else { format!("{:x}\r\n{body}\r\n", body.len()) };
    let text = format!("{}{chunk}0\r\n{trailers}\r\n", key_bench::chunked_head(path, &lines));
    RandomRequest { bytes: text.into_bytes(), body }
}

/// Checks that an instance received exactly this tenant and nothing of any key.
fn assert_instance_saw(
    received: &str,
    header_names: &HeaderNames,
    tenant: Option<&str>,
    body: &str,
    context: &str,
) {
    let lower = received.to_ascii_lowercase();
    let (head, received_body) = lower.split_once("\r\n\r\n").expect("a head and a body");
    assert!(!lower.contains("key-of-"), "{context}: a key was forwarded: {received}");
    assert!(!lower.contains(&format!("{}:", header_names.api_key)), "{context}: a key header was forwarded");
    assert!(!lower.contains("forged"), "{context}: a trailer was forwarded: {received}");
    let prefix = format!("{}:", header_names.tenant);
    let tenants: Vec<&str> =
        head.split("\r\n").filter_map(|line| line.strip_prefix(&prefix)).map(str::trim).collect();
    assert_eq!(tenants, tenant.into_iter().collect::<Vec<_>>(), "{context}: {received}");
    assert_eq!(received_body, body, "{context}");
}

fn assert_refused(response: &HttpReply, header_names: &HeaderNames, context: &str) {
    assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{context}");
    assert!(!response.has_header("retry-after"), "{context}: a retry cannot help");
    assert!(response.body.contains(r#""outcome":"not_run""#), "{context}: {}", response.body);
    assert!(
        !response.whole.contains("key-of-"),
        "{context}: the response contains a key: {}",
        response.whole
    );
    if header_names.has_outcome {
        assert!(response.has_header("x-vanelane-outcome"), "{context}");
    }
}

/// Guards against violations of UNASKED and ROUTE: calls run although no configuration ever held their key.
#[test]
fn calls_without_one_known_key_are_refused_where_a_route_needs_one() {
    run(async {
        for header_names in HeaderNames::ALL {
            let instance = responding_instance();
            let bench = Bench::start(&header_names, &routes(WITH_TENANTS), instance.address).await;
            for seed in 0..SEEDS {
                let mut rng = fastrand::Rng::with_seed(seed);
                let wrong_keys =
                    ["key-of-nobody", "key-of-lom", "key-of-lomi2", "KEY-OF-LOMI", "key-of-lomi,key-of-lomi"];
                let wrong_key = wrong_keys[rng.usize(..wrong_keys.len())];
                let (values, has_key): (&[&str], bool) = match rng.u8(..6) {
                    0 => (&[], false),
                    1 => (&[""], false),
                    2 => (&[wrong_key], true),
                    3 => (&["key-of-lomi", "key-of-lomi"], true),
                    4 => (&["key-of-lomi", ""], true),
                    _ => (&["key-of-fifi", "key-of-nobody", "key-of-lomi"], true),
                };
                let lines: Vec<String> =
                    values.iter().map(|value| random_line(&mut rng, header_names.api_key, value)).collect();
                let context = format!("{} seed {seed} {lines:?}", header_names.tenant);
                let before = (bench.count("no_key"), bench.count("unknown_key"));
                let request = random_request(&mut rng, &header_names, "/private/x", &lines);
                assert_refused(&bench.call(&request.bytes).await, &header_names, &context);
                let after = (bench.count("no_key"), bench.count("unknown_key"));
                let counted = (before.0 + u64::from(!has_key), before.1 + u64::from(has_key));
                assert_eq!(after, counted, "{context}");
            }
            assert!(
                bench.parameter_sets().is_empty(),
                "a permit was requested for a call that is not admitted"
            );
            assert!(instance.received().is_empty());
        }
    });
}

/// Guards against violations of UNASKED: an instance is sent a key, or the tenant that the client named.
#[test]
fn an_instance_is_sent_the_tenant_of_the_key_once_and_never_a_key() {
    run(async {
        for header_names in HeaderNames::ALL {
            for (settings, has_tenants) in [(WITH_TENANTS, true), (WITHOUT_TENANTS, false)] {
                let instance = responding_instance();
                let bench = Bench::start(&header_names, &routes(settings), instance.address).await;
                for seed in 0..SEEDS {
                    let mut rng = fastrand::Rng::with_seed(seed);
                    let is_public = rng.bool();
                    let keys =
                        [("key-of-lomi", "lomi"), ("second-key-of-lomi", "lomi"), ("key-of-fifi", "fifi")];
                    let (key, tenant) = keys[rng.usize(..3)];
                    let mut lines = vec![random_line(&mut rng, header_names.api_key, key)];
                    if is_public || !has_tenants {
                        // Where no key is needed, keys need not be valid, and none is forwarded.
                        for _ in 0..rng.u8(..3) {
                            lines.push(random_line(&mut rng, header_names.api_key, "key-of-nobody"));
                        }
                    }
                    let path = if is_public { "/public/x" } else { "/private/x" };
                    let context = format!("{} {has_tenants} seed {seed} {path}", header_names.tenant);
                    let request = random_request(&mut rng, &header_names, path, &lines);
                    let response = bench.call(&request.bytes).await;
                    assert_eq!(response.status, StatusCode::OK, "{context}");
                    let tenant = (has_tenants && !is_public).then_some(tenant);
                    let received = instance.received().pop().expect("a request at the instance");
                    assert_instance_saw(&received, &header_names, tenant, &request.body, &context);
                }
                assert_eq!((bench.count("no_key"), bench.count("unknown_key")), (0, 0));
            }
        }
    });
}

/// Guards against violations of UNASKED on retries: each attempt is sent the tenant anew.
#[test]
fn a_retry_is_sent_the_same_tenant_and_no_key() {
    run(async {
        for header_names in HeaderNames::ALL {
            let instance = ScriptedInstance::start(|_, _| Reply { bytes: Vec::new(), after: After::Reset });
            let bench = Bench::start(&header_names, &routes(WITH_TENANTS), instance.address).await;
            let lines =
                [format!("{}: key-of-lomi", header_names.api_key), format!("{}: fifi", header_names.tenant)];
            let response = bench.call(&request_bytes("/private/x", &lines, "b")).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY);
            let received = instance.received();
            assert!(received.len() > 1, "the call was not retried: {received:?}");
            for (number, received) in received.iter().enumerate() {
                assert_instance_saw(received, &header_names, Some("lomi"), "b", &format!("attempt {number}"));
            }
        }
    });
}

/// Guards against violations of UNASKED on kept connections to instances, which calls of several tenants use
/// in turn.
#[test]
fn each_call_on_a_kept_connection_to_an_instance_has_its_own_tenant() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let instance = responding_instance();
        let bench = Bench::start(&header_names, &routes(WITH_TENANTS), instance.address).await;
        for seed in 0..SEEDS {
            let calls = [
                ("/private/x", "key-of-lomi", Some("lomi")),
                ("/private/x", "key-of-fifi", Some("fifi")),
                ("/public/x", "key-of-fifi", None),
                ("/public/x", "", None),
            ];
            let (path, key, tenant) = calls[fastrand::Rng::with_seed(seed).usize(..calls.len())];
            let lines = [format!("{}: {key}", header_names.api_key)];
            assert_eq!(bench.call(&request_bytes(path, &lines, "")).await.status, StatusCode::OK);
            let received = instance.received().pop().expect("a request at the instance");
            assert_instance_saw(&received, &header_names, tenant, "", &format!("call {seed}"));
        }
        assert_eq!(instance.connections(), 1, "the connection was not kept");
    });
}

/// A configuration change while a call waits for its permit, and the expected result.
struct Change {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    /// The later configuration.
    later: &'static str,
    status: StatusCode,
    tenant: Option<&'static str>,
}

const CHANGES: [Change; 7] = [
    Change {
        name: "the key is revoked",
        path: "/private/x",
        key: "key-of-lomi",
        later: r#""tenants": {"lomi": {"keys": ["second-key-of-lomi"]}},
            "lanes": {"private": {"function": "f", "path_prefix": "/private"}}"#,
        status: StatusCode::UNAUTHORIZED,
        tenant: None,
    },
    Change {
        name: "the tenant is removed and the route leads to another function",
        path: "/private/x",
        key: "key-of-lomi",
        later: r#""tenants": {}, "lanes": {"private": {"function": "g", "path_prefix": "/private"}}"#,
        status: StatusCode::UNAUTHORIZED,
        tenant: None,
    },
    Change {
        name: "the route leads to another function",
        path: "/private/x",
        key: "key-of-lomi",
        later: r#""tenants": {"lomi": {"keys": ["key-of-lomi"]}},
            "lanes": {"private": {"function": "g", "path_prefix": "/private"}}"#,
        status: StatusCode::OK,
        tenant: Some("lomi"),
    },
    Change {
        name: "the key moved to another tenant",
        path: "/private/x",
        key: "key-of-lomi",
        later: r#""tenants": {"fifi": {"keys": ["key-of-lomi"]}},
            "lanes": {"private": {"function": "f", "path_prefix": "/private"}}"#,
        status: StatusCode::OK,
        tenant: Some("fifi"),
    },
    Change {
        name: "the route became public",
        path: "/private/x",
        key: "key-of-lomi",
        later: r#""tenants": {"lomi": {"keys": ["key-of-lomi"]}},
            "lanes": {"private": {"function": "g", "path_prefix": "/private", "is_public": true}}"#,
        status: StatusCode::OK,
        tenant: None,
    },
    Change {
        name: "the public route needs a key that was sent",
        path: "/public/x",
        key: "key-of-lomi",
        later: r#""tenants": {"lomi": {"keys": ["key-of-lomi"]}},
            "lanes": {"public": {"function": "f", "path_prefix": "/public"}}"#,
        status: StatusCode::OK,
        tenant: Some("lomi"),
    },
    Change {
        name: "the public route needs a key that was not sent",
        path: "/public/x",
        key: "",
        later: r#""tenants": {"lomi": {"keys": ["key-of-lomi"]}},
            "lanes": {"public": {"function": "g", "path_prefix": "/public"}}"#,
        status: StatusCode::UNAUTHORIZED,
        tenant: None,
    },
];

/// Guards against violations of UNASKED and CONFIG: a call that waited while the configuration changed runs
/// as the older one allowed, or under a tenant that its key does not belong to.
#[test]
fn a_waiting_call_is_admitted_again_by_a_later_configuration() {
    run(async {
        for header_names in HeaderNames::ALL {
            for change in &CHANGES {
                let instance = responding_instance();
                let mut bench =
                    Bench::start_holding(&header_names, &routes(WITH_TENANTS), instance.address).await;
                let lines = [format!("{}: {}", header_names.api_key, change.key)];
                let call = bench.spawn_call(&request_bytes(change.path, &lines, "b"));
                let permit_request = bench.next_permit_request().await;
                let GatewayMessage::RequestPermit { parameters, .. } = &permit_request else {
                    unreachable!("next_permit_request returns only permit requests")
                };
                let requested_for = parameters.tenant.clone();
                bench.gateway.set_configuration(2, &routes(change.later));
                bench.grant(permit_request);
                bench.grant_all();
                let response = call.await.expect("the client ended");
                let context = format!("{}: {}", header_names.tenant, change.name);
                assert_eq!(response.status, change.status, "{context}: {}", response.whole);
                let received = instance.received();
                if change.status == StatusCode::OK {
                    assert_eq!(received.len(), 1, "{context}");
                    assert_instance_saw(&received[0], &header_names, change.tenant, "b", &context);
                    // A permit is used only for the tenant that it was requested for: usage is counted by it.
                    let again = bench.parameter_sets().pop().map(|parameters| parameters.tenant);
                    assert_eq!(again.unwrap_or(requested_for).as_deref(), change.tenant, "{context}");
                } else {
                    assert_refused(&response, &header_names, &context);
                    assert!(received.is_empty(), "{context}: the call reached an instance");
                }
            }
        }
    });
}

/// Guards against violations of REFUSED: a call that may have run is reported as not run after its key was
/// revoked.
#[test]
fn a_call_that_may_have_run_is_of_unknown_outcome_after_its_key_is_revoked() {
    run(async {
        for header_names in HeaderNames::ALL {
            let instance = ScriptedInstance::start(|_, _| Reply { bytes: Vec::new(), after: After::Reset });
            let mut bench =
                Bench::start_holding(&header_names, &routes(WITH_TENANTS), instance.address).await;
            let lines = [format!("{}: key-of-lomi", header_names.api_key)];
            let call = bench.spawn_call(&request_bytes("/private/x", &lines, ""));
            let first = bench.next_permit_request().await;
            bench.grant(first);
            let second = bench.next_permit_request().await;
            let later =
                r#""tenants": {}, "lanes": {"private": {"function": "f", "path_prefix": "/private"}}"#;
            bench.gateway.set_configuration(2, &routes(later));
            bench.grant(second);
            let response = call.await.expect("the client ended");
            assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
            assert!(response.body.contains(r#""outcome":"unknown""#), "{}", response.body);
            assert!(!response.has_header("retry-after"));
            assert_eq!(instance.received().len(), 1, "the call reached a second instance");
        }
    });
}

fn with_keys(keys: &str) -> Configuration {
    routes(&format!(
        r#""tenants": {{"lomi": {{"keys": [{keys}]}}}},
            "lanes": {{"private": {{"function": "f", "path_prefix": "/private"}}}}"#
    ))
}

/// Guards against violations of CONFIG after a revocation: an open connection keeps what its first call was
/// allowed.
#[test]
fn revoked_and_added_keys_take_effect_on_open_connections() {
    run(async {
        for header_names in HeaderNames::ALL {
            for by_delta in [false, true] {
                let instance = responding_instance();
                let first = with_keys(r#""key-of-lomi""#);
                let bench = Bench::start(&header_names, &first, instance.address).await;
                let mut client = bench.connect().await;
                let call = |key: &str| {
                    request_bytes("/private/x", &[format!("{}: {key}", header_names.api_key)], "")
                };
                assert_eq!(client.exchange(&call("key-of-lomi")).await.status, StatusCode::OK);
                let added = client.exchange(&call("second-key-of-lomi")).await;
                assert_eq!(added.status, StatusCode::UNAUTHORIZED);
                let second = with_keys(r#""second-key-of-lomi""#);
                if by_delta {
                    let delta = ConfigurationDelta::between((1, &first), (2, &second));
                    bench.gateway.apply_changed_configuration(2, &second, &[delta]);
                } else {
                    bench.gateway.set_configuration(2, &second);
                }
                assert_refused(&client.exchange(&call("key-of-lomi")).await, &header_names, "key revoked");
                assert_eq!(client.exchange(&call("second-key-of-lomi")).await.status, StatusCode::OK);
                // The keys of a removed tenant are removed with it.
                bench.gateway.set_configuration(3, &routes(r#""tenants": {}, "lanes": {"private": {"function": "f", "path_prefix": "/private"}}"#));
                assert_refused(
                    &client.exchange(&call("second-key-of-lomi")).await,
                    &header_names,
                    "tenant removed",
                );
                assert_eq!(bench.connections(), 1, "all calls use one connection");
            }
        }
    });
}

/// Guards against violations of CONFIG: a node that knew of a newer configuration refused calls for good by
/// its own older one.
#[test]
fn a_call_not_admitted_by_suspect_routes_may_be_retried_later() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let instance = responding_instance();
        let bench = Bench::start(&header_names, &with_keys(r#""key-of-lomi""#), instance.address).await;
        let call =
            |path: &str, key: &str| request_bytes(path, &[format!("{}: {key}", header_names.api_key)], "");
        let refused = [call("/nowhere", "key-of-lomi"), call("/private/x", "another-key")];
        bench.gateway.set_routes_suspect(true);
        for request in &refused {
            let response = bench.call(request).await;
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(response.whole.to_ascii_lowercase().contains("retry-after: "), "{}", response.whole);
        }
        assert_eq!(bench.call(&call("/private/x", "key-of-lomi")).await.status, StatusCode::OK);
        bench.gateway.set_routes_suspect(false);
        assert_eq!(bench.call(&refused[0]).await.status, StatusCode::NOT_FOUND);
        assert_eq!(bench.call(&refused[1]).await.status, StatusCode::UNAUTHORIZED);
    });
}

/// Guards against violations of UNASKED: a request hidden in the body of a refused call is read as a call.
#[test]
fn a_refused_calls_unread_body_is_never_read_as_a_request() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let instance = responding_instance();
        let bench = Bench::start(&header_names, &routes(WITH_TENANTS), instance.address).await;
        let key_line = [format!("{}: key-of-lomi", header_names.api_key)];
        let hidden = String::from_utf8(request_bytes("/private/hidden", &key_line, "")).expect("UTF-8");
        // The request is sent at once, or its body only after the response.
        for is_split in [false, true] {
            let refused = String::from_utf8(request_bytes("/private/x", &[], &hidden)).expect("UTF-8");
            let mut client = bench.connect().await;
            let sent = if is_split { refused.len() - hidden.len() } else { refused.len() };
            let response = client.exchange(&refused.as_bytes()[..sent]).await;
            assert_refused(&response, &header_names, "with a length");
            client.send(&refused.as_bytes()[sent..]).await;
            assert!(client.next_response().await.is_none(), "the body was read as a request");

            let head = key_bench::chunked_head("/private/x", &[]);
            let chunked = format!("{head}{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
            let mut client = bench.connect().await;
            let sent = if is_split { head.len() } else { chunked.len() };
            let response = client.exchange(&chunked.as_bytes()[..sent]).await;
            assert_refused(&response, &header_names, "in chunks");
            client.send(&chunked.as_bytes()[sent..]).await;
            client.send(&request_bytes("/private/next", &key_line, "")).await;
            // The connection may be closed; if it is not, only the next call gets a response.
            if let Some(response) = client.next_response().await {
                assert_eq!(response.status, StatusCode::OK);
                assert!(client.next_response().await.is_none());
            }
        }
        let received = instance.received();
        assert!(!received.iter().any(|request| request.contains("hidden")), "{received:?}");
    });
}

/// Guards against tenants that are served regardless of their rank.
#[test]
fn a_permit_is_requested_under_the_tenant_and_its_rank() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let instance = responding_instance();
        let bench = Bench::start(&header_names, &routes(WITH_TENANTS), instance.address).await;
        let expected = [
            ("/private/x", "key-of-lomi", Some("lomi"), (2 << 8) | 3),
            ("/private/x", "key-of-fifi", Some("fifi"), 3),
            ("/public/x", "key-of-lomi", None, 1),
        ];
        for (path, key, tenant, rank) in expected {
            let lines = [format!("{}: {key}", header_names.api_key)];
            assert_eq!(bench.call(&request_bytes(path, &lines, "")).await.status, StatusCode::OK);
            let parameters = bench.parameter_sets().pop().expect("a permit request");
            assert_eq!((parameters.tenant.as_deref(), parameters.rank), (tenant, rank), "{path} {key}");
        }
    });
}

/// Guards against nested calls that are admitted without a key on routes that need one.
#[test]
fn a_nested_call_needs_a_key_like_any_other() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let instance = responding_instance();
        let bench = Bench::start(&header_names, &routes(WITH_TENANTS), instance.address).await;
        bench.gateway.set_instance_hosts([std::net::IpAddr::from([127, 0, 0, 1])].into());
        let refused = bench.call(&request_bytes("/private/x", &[], "")).await;
        assert_refused(&refused, &header_names, "nested");
        assert_eq!(bench.call(&request_bytes("/public/x", &[], "")).await.status, StatusCode::OK);
        assert!(
            bench
                .parameter_sets()
                .iter()
                .all(|parameters| parameters.is_nested && parameters.tenant.is_none())
        );
    });
}

/// Guards against keys in records, traces and the node's protocol.
#[test]
fn no_key_is_in_records_traces_or_messages_to_the_protocol() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let instance = responding_instance();
        let folder =
            std::env::temp_dir().join(format!("vanelane-keys-{}-{}", std::process::id(), fastrand::u64(..)));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (records, traces) = (folder.join("records"), folder.join("traces"));
        let writers = key_bench::Writers {
            recorder: Recorder::start(&records, 1 << 20).expect("a file"),
            traces: call_traces::TraceWriter::start(&traces, 1 << 20, 1.0, "zone").expect("a file"),
        };
        let mut bench =
            Bench::start_recording(&header_names, &routes(WITH_TENANTS), instance.address, writers).await;
        for key in ["key-of-lomi", "key-of-nobody"] {
            let lines = [format!("{}: {key}", header_names.api_key)];
            let call = bench.spawn_call(&request_bytes("/private/x", &lines, ""));
            if key == "key-of-lomi" {
                let permit_request = bench.next_permit_request().await;
                assert!(!format!("{permit_request:?}").contains("key-of-"));
                bench.grant(permit_request);
            }
            call.await.expect("the client ended");
        }
        let written = key_bench::written_lines(&[&records, &traces], 2).await;
        assert!(written.contains("/private/x"), "{written}");
        assert!(!written.contains("key-of-"), "{written}");
        std::fs::remove_dir_all(&folder).expect("removed");
    });
}

/// Guards against reading the body of a call that its head already refuses.
#[test]
fn a_call_that_is_not_admitted_is_refused_before_its_body_is_read() {
    run(async {
        let header_names = HeaderNames::PLATFORM;
        let bench = Bench::start(&header_names, &routes(WITH_TENANTS), responding_instance().address).await;
        let whole = request_bytes("/private/x", &[], &"b".repeat(50_000));
        let head = whole.len() - 50_000;
        let response = tokio::time::timeout(Duration::from_secs(5), async {
            bench.connect().await.exchange(&whole[..head]).await
        });
        let response = response.await.expect("a response before the body");
        assert_refused(&response, &header_names, "no body yet");
        assert!(response.has_header(header::CONTENT_TYPE.as_str()));
    });
}
