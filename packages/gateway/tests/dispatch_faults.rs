//! Every way in which a cell or its connection may fail one dispatch, and what the front makes of it:
//! only what surely did not run is said not to have run.

mod scripted_instance;

use gateway::{DispatchOutcome, DispatchSettings, HeaderConventions, dispatch};
use monotonic_clock::Micros;
use scripted_instance::{
    After, Reply, ScriptedInstance, call_to, keeping, platform_conventions, response_bytes, sound_response,
};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};

const LONG_TIMEOUT: Micros = Micros::from_secs(30);
/// For calls whose time is to run out.
const SHORT: Micros = Micros::from_millis(60);

fn reported(outcome: &DispatchOutcome) -> String {
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

fn dispatched(
    address: SocketAddr,
    ids: &[&str],
    time_left: Micros,
    settings: &DispatchSettings,
) -> Vec<String> {
    actix_rt::System::new().block_on(async {
        let mut outcomes = Vec::new();
        for id in ids {
            outcomes.push(reported(&dispatch(call_to(address, id, time_left), settings).await));
        }
        outcomes
    })
}

/// One dispatch over a fresh connection to a cell that replies so.
fn fresh(bytes: Vec<u8>, after: After, header_conventions: HeaderConventions, time_left: Micros) -> String {
    let instance = ScriptedInstance::start(move |_, _| Reply { bytes: bytes.clone(), after });
    dispatched(instance.address, &["a"], time_left, &keeping(header_conventions)).remove(0)
}

#[test]
fn what_was_sent_and_got_no_whole_response_may_have_run() {
    let cut_chunks = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let whole = sound_response("a");
    let half = &whole[..whole.len() - 3];
    let spoilt: [(&str, &[u8]); 6] = [
        ("nothing", b""),
        ("a part of the head", b"HTTP/1.1 200 OK\r\nrequ"),
        ("a part of the body", half),
        ("a part of the chunks", cut_chunks),
        ("no HTTP", b"\x00\x17 no http \xff\xfe\r\n\r\n"),
        ("an interim answer", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    for (name, bytes) in spoilt {
        for after in [After::Close, After::Reset] {
            assert_eq!(
                fresh(bytes.to_vec(), after, platform_conventions(), LONG_TIMEOUT),
                "unknown",
                "{name} {after:?}"
            );
        }
    }
    // Half-open: the connection stands and brings nothing more.
    for bytes in [&b""[..], half, &cut_chunks[..]] {
        assert_eq!(fresh(bytes.to_vec(), After::Silence, platform_conventions(), SHORT), "timed out");
    }
}

#[test]
fn a_connection_that_did_not_come_up_carried_nothing() {
    let refusing = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    assert_eq!(dispatched(refusing, &["a"], LONG_TIMEOUT, &keeping(platform_conventions())), ["not run"]);
    // A listener whose queue is full leaves new connections without a word until the time is over.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    listener.listen(0).expect("listens");
    let silent = listener.local_addr().expect("bound").as_socket().expect("an address");
    let queued = TcpStream::connect(silent).expect("queued");
    assert_eq!(dispatched(silent, &["a"], SHORT, &keeping(platform_conventions())), ["not run"]);
    drop(queued);
}

#[test]
fn only_the_instances_own_word_says_that_a_call_did_not_run() {
    let reply = |status: &str, headers: &str, header_conventions: HeaderConventions| {
        fresh(response_bytes(status, headers, "word"), After::Close, header_conventions, LONG_TIMEOUT)
    };
    for status in ["503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"] {
        let with_id = "request-id: a\r\nnot-run: 1\r\n";
        assert_eq!(reply(status, with_id, platform_conventions()), "turned away", "{status}");
        assert_eq!(reply(status, "not-run: 1\r\n", platform_conventions()), "turned away", "{status}");
    }
    let misdirected = "421 Misdirected Request";
    assert_eq!(reply(misdirected, "", platform_conventions()), "not run");
    // These statuses are promises to visitors: without the cell's word the front does not make them.
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        assert_eq!(reply(status, "request-id: a\r\n", platform_conventions()), "unknown", "{status}");
    }
    for status in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"] {
        let code = status.split(' ').next().expect("a code");
        assert_eq!(
            reply(status, "request-id: a\r\n", platform_conventions()),
            format!("answered {code} word")
        );
    }
    // A success is one, whatever stands beside it.
    assert_eq!(
        reply("200 OK", "request-id: a\r\nnot-run: 1\r\n", platform_conventions()),
        "answered 200 word"
    );
    // Where an outcome header tells it, statuses are the functions' own.
    let native = HeaderConventions::default;
    assert_eq!(reply("503 Service Unavailable", "", native()), "answered 503 word");
    let not_run = "x-vanelane-outcome: not_run\r\n";
    assert_eq!(reply("503 Service Unavailable", not_run, native()), "turned away");
    let ran = "x-vanelane-outcome: ran\r\n";
    assert_eq!(reply("503 Service Unavailable", ran, native()), "answered 503 word");
}

#[test]
fn a_response_that_bears_no_id_or_anothers_is_handed_to_nobody() {
    for headers in ["", "request-id: b\r\n"] {
        let bytes = response_bytes("200 OK", headers, "stray");
        assert_eq!(fresh(bytes, After::Next, platform_conventions(), LONG_TIMEOUT), "unknown", "{headers:?}");
    }
}

#[test]
fn a_call_without_an_id_never_takes_a_late_response() {
    // The second request on a connection first meets a repeat of the first's answer.
    let instance = ScriptedInstance::start(|number, id| {
        let mut bytes = if number == 1 { sound_response("a") } else { Vec::new() };
        bytes.extend(match id {
            "" => response_bytes("400 Bad Request", "not-run: 1\r\n", "no id"),
            id => sound_response(id),
        });
        Reply { bytes, after: After::Next }
    });
    let outcomes =
        dispatched(instance.address, &["a", "", "c"], LONG_TIMEOUT, &keeping(platform_conventions()));
    assert_eq!(outcomes, ["answered 200 answer to a", "turned away", "answered 200 answer to c"]);
    assert_eq!(instance.requests(), ["a", "", "c"]);
}

#[test]
fn connections_are_kept_only_where_answers_bear_ids() {
    let instance =
        || ScriptedInstance::start(|_, id| Reply { bytes: sound_response(id), after: After::Next });
    let known = instance();
    dispatched(known.address, &["a", "b", "c"], LONG_TIMEOUT, &keeping(platform_conventions()));
    let unknown = instance();
    dispatched(unknown.address, &["a", "b", "c"], LONG_TIMEOUT, &keeping(HeaderConventions::default()));
    assert_eq!((known.connections(), unknown.connections()), (1, 3));
}

#[test]
fn a_kept_connection_that_failed_is_used_no_more() {
    for after in [After::Close, After::Reset, After::Silence] {
        let instance = ScriptedInstance::start(move |number, id| match (number, id) {
            (0, id) => Reply { bytes: sound_response(id), after: After::Next },
            _ => Reply { bytes: Vec::new(), after },
        });
        let outcomes = dispatched(
            instance.address,
            &["a", "b", "c"],
            Micros::from_millis(300),
            &keeping(platform_conventions()),
        );
        let failed = if after == After::Silence { "timed out" } else { "unknown" };
        assert_eq!(outcomes, ["answered 200 answer to a", failed, "answered 200 answer to c"], "{after:?}");
        // The failed call reached the cell once: nothing was sent again behind the front's back.
        assert_eq!(instance.requests(), ["a", "b", "c"], "{after:?}");
    }
}
