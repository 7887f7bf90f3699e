//! Every way in which an instance or its connection may fail one dispatch, and the outcome that the gateway
//! derives: only a call that certainly did not run may be reported as not run.

mod scripted_instance;

use gateway::{DispatchOutcome, DispatchSettings, HeaderConventions, dispatch};
use monotonic_clock::Micros;
use scripted_instance::{
    After, Reply, ScriptedInstance, call_to, keep_alive_settings, platform_conventions, response_bytes,
    valid_response,
};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};

const LONG_TIMEOUT: Micros = Micros::from_secs(30);
/// For calls that are to time out.
const SHORT_TIMEOUT: Micros = Micros::from_millis(60);

fn outcome_text(outcome: &DispatchOutcome) -> String {
    match outcome {
        DispatchOutcome::Answered(answered) => {
            format!("answered {} {}", answered.status.as_u16(), String::from_utf8_lossy(&answered.body))
        }
        DispatchOutcome::NotRun => "not run".to_owned(),
        DispatchOutcome::RefusedBusy => "turned away".to_owned(),
        DispatchOutcome::Unknown(_) => "unknown".to_owned(),
        DispatchOutcome::TimedOut => "timed out".to_owned(),
        DispatchOutcome::Withdrawn => "withdrawn".to_owned(),
        DispatchOutcome::Abandoned => "abandoned".to_owned(),
    }
}

fn outcomes_of_dispatches(
    address: SocketAddr,
    ids: &[&str],
    time_left: Micros,
    settings: &DispatchSettings,
) -> Vec<String> {
    actix_rt::System::new().block_on(async {
        let mut outcomes = Vec::new();
        for id in ids {
            outcomes.push(outcome_text(&dispatch(call_to(address, id, time_left), settings).await));
        }
        outcomes
    })
}

/// The outcome of one dispatch over a fresh connection to an instance that sends these bytes.
fn outcome_on_fresh_connection(
    bytes: Vec<u8>,
    after: After,
    header_conventions: HeaderConventions,
    time_left: Micros,
) -> String {
    let instance = ScriptedInstance::start(move |_, _| Reply { bytes: bytes.clone(), after });
    outcomes_of_dispatches(instance.address, &["a"], time_left, &keep_alive_settings(header_conventions))
        .remove(0)
}

#[test]
fn a_sent_call_without_a_valid_response_is_of_unknown_outcome() {
    let cut_chunks = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let whole = valid_response("a");
    let half = &whole[..whole.len() - 3];
    let invalid_responses: [(&str, &[u8]); 6] = [
        ("nothing", b""),
        ("a part of the head", b"HTTP/1.1 200 OK\r\nrequ"),
        ("a part of the body", half),
        ("a part of the chunks", cut_chunks),
        ("no HTTP", b"\x00\x17 no http \xff\xfe\r\n\r\n"),
        ("an interim answer", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    for (name, bytes) in invalid_responses {
        for after in [After::Close, After::Reset] {
            assert_eq!(
                outcome_on_fresh_connection(bytes.to_vec(), after, platform_conventions(), LONG_TIMEOUT),
                "unknown",
                "{name} {after:?}"
            );
        }
    }
    // Half-open: the connection stays open and nothing more arrives.
    for bytes in [&b""[..], half, &cut_chunks[..]] {
        assert_eq!(
            outcome_on_fresh_connection(
                bytes.to_vec(),
                After::Silence,
                platform_conventions(),
                SHORT_TIMEOUT
            ),
            "timed out"
        );
    }
}

#[test]
fn a_call_whose_connection_did_not_open_is_reported_as_not_run() {
    let refusing =
        TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("a bound socket");
    assert_eq!(
        outcomes_of_dispatches(refusing, &["a"], LONG_TIMEOUT, &keep_alive_settings(platform_conventions())),
        ["not run"]
    );
    // A listener with a full accept queue does not respond to new connections until the time is over.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    listener.listen(0).expect("a listening socket");
    let silent = listener.local_addr().expect("a bound socket").as_socket().expect("an address");
    let queued = TcpStream::connect(silent).expect("a queued connection");
    assert_eq!(
        outcomes_of_dispatches(silent, &["a"], SHORT_TIMEOUT, &keep_alive_settings(platform_conventions())),
        ["not run"]
    );
    drop(queued);
}

#[test]
fn only_the_instances_own_statement_reports_a_call_as_not_run() {
    let reply = |status: &str, headers: &str, header_conventions: HeaderConventions| {
        outcome_on_fresh_connection(
            response_bytes(status, headers, "word"),
            After::Close,
            header_conventions,
            LONG_TIMEOUT,
        )
    };
    for status in ["503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"] {
        let with_id = "request-id: a\r\nnot-run: 1\r\n";
        assert_eq!(reply(status, with_id, platform_conventions()), "turned away", "{status}");
        assert_eq!(reply(status, "not-run: 1\r\n", platform_conventions()), "turned away", "{status}");
    }
    let misdirected = "421 Misdirected Request";
    assert_eq!(reply(misdirected, "", platform_conventions()), "not run");
    // Clients take these statuses as a promise that the call did not run: the gateway does not pass them on
    // unless the instance says so.
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        assert_eq!(reply(status, "request-id: a\r\n", platform_conventions()), "unknown", "{status}");
    }
    for status in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"] {
        let code = status.split(' ').next().expect("a status code");
        assert_eq!(
            reply(status, "request-id: a\r\n", platform_conventions()),
            format!("answered {code} word")
        );
    }
    // A success status counts, whatever the headers say.
    assert_eq!(
        reply("200 OK", "request-id: a\r\nnot-run: 1\r\n", platform_conventions()),
        "answered 200 word"
    );
    // With an outcome header, statuses are the functions' own.
    let native = HeaderConventions::default;
    assert_eq!(reply("503 Service Unavailable", "", native()), "answered 503 word");
    let not_run = "x-vanelane-outcome: not_run\r\n";
    assert_eq!(reply("503 Service Unavailable", not_run, native()), "turned away");
    let ran = "x-vanelane-outcome: ran\r\n";
    assert_eq!(reply("503 Service Unavailable", ran, native()), "answered 503 word");
}

#[test]
fn a_response_without_an_id_or_with_another_calls_id_is_discarded() {
    for headers in ["", "request-id: b\r\n"] {
        let bytes = response_bytes("200 OK", headers, "stray");
        assert_eq!(
            outcome_on_fresh_connection(bytes, After::Next, platform_conventions(), LONG_TIMEOUT),
            "unknown",
            "{headers:?}"
        );
    }
}

#[test]
fn a_call_without_an_id_never_accepts_a_late_response() {
    // The second request on a connection first gets a repeat of the first one's response.
    let instance = ScriptedInstance::start(|number, id| {
        let mut bytes = if number == 1 { valid_response("a") } else { Vec::new() };
        bytes.extend(match id {
            "" => response_bytes("400 Bad Request", "not-run: 1\r\n", "no id"),
            id => valid_response(id),
        });
        Reply { bytes, after: After::Next }
    });
    let outcomes = outcomes_of_dispatches(
        instance.address,
        &["a", "", "c"],
        LONG_TIMEOUT,
        &keep_alive_settings(platform_conventions()),
    );
    assert_eq!(outcomes, ["answered 200 answer to a", "turned away", "answered 200 answer to c"]);
    assert_eq!(instance.requests(), ["a", "", "c"]);
}

#[test]
fn connections_are_kept_only_where_responses_carry_ids() {
    let instance =
        || ScriptedInstance::start(|_, id| Reply { bytes: valid_response(id), after: After::Next });
    let with_ids = instance();
    outcomes_of_dispatches(
        with_ids.address,
        &["a", "b", "c"],
        LONG_TIMEOUT,
        &keep_alive_settings(platform_conventions()),
    );
    let without_ids = instance();
    outcomes_of_dispatches(
        without_ids.address,
        &["a", "b", "c"],
        LONG_TIMEOUT,
        &keep_alive_settings(HeaderConventions::default()),
    );
    assert_eq!((with_ids.connections(), without_ids.connections()), (1, 3));
}

#[test]
fn a_kept_connection_that_failed_is_not_reused() {
    for after in [After::Close, After::Reset, After::Silence] {
        let instance = ScriptedInstance::start(move |number, id| match (number, id) {
            (0, id) => Reply { bytes: valid_response(id), after: After::Next },
            _ => Reply { bytes: Vec::new(), after },
        });
        let outcomes = outcomes_of_dispatches(
            instance.address,
            &["a", "b", "c"],
            Micros::from_millis(300),
            &keep_alive_settings(platform_conventions()),
        );
        let failed = if after == After::Silence { "timed out" } else { "unknown" };
        assert_eq!(outcomes, ["answered 200 answer to a", failed, "answered 200 answer to c"], "{after:?}");
        // The failed call reached the instance once: nothing was resent implicitly.
        assert_eq!(instance.requests(), ["a", "b", "c"], "{after:?}");
    }
}
