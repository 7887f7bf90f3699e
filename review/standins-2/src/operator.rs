//! The operator: sends whole configurations until they are taken, and reads them back.

use crate::fleet::Fleet;
use crate::http::{call, Message};
use crate::record::Record;
use std::time::{Duration, Instant};

/// A service with one route each: its name, the route's type, and the calls that one cell takes at once.
pub struct Service<'text> {
    pub name: &'text str,
    pub prefix: &'text str,
    pub route_type: &'text str,
    pub at_once: u32,
}

pub const HOST: &str = "dese56.example";

fn route(service: &Service) -> String {
    let tries = if service.route_type == "safe" { 2 } else { 1 };
    format!(
        "{{\"name\":\"r-{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"routeType\":\"{}\",\
         \"timeoutMs\":4000,\"targetMs\":400,\"rank\":1,\"service\":\"{}\",\"tries\":{tries}}}",
        service.prefix.trim_matches('/').replace('/', "-"),
        service.prefix,
        service.route_type,
        service.name,
    )
}

/// The configuration with one more route, to a service that it has.
pub fn with_route(document: &str, added: &Service) -> String {
    document.replacen("],\"services\":", &format!(",{}],\"services\":", route(added)), 1)
}

pub fn configuration(version: u64, services: &[Service]) -> String {
    let routes: Vec<String> = services.iter().map(route).collect();
    let listed: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{}\",\"healthPath\":null,\"maxConns\":106,\"protocol\":\"h1\",\"tls\":false,\
                 \"memoryMb\":128,\"bootMs\":500,\"maxConcurrent\":{}}}",
                service.name, service.at_once
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerWaitMs\":3000,\"idleMs\":15000}}}}",
        routes.join(","),
        listed.join(",")
    )
}

/// Sends a configuration to the machines in turn until it is acknowledged; how long that took.
pub fn put(
    fleet: &Fleet,
    record: &Record,
    (version, base): (u64, u64),
    document: &str,
    within: Duration,
) -> Option<Duration> {
    let began = Instant::now();
    let mut index = 0;
    let mut last = 0;
    while began.elapsed() < within {
        let target = index % fleet.machines.len();
        index += 1;
        let answer = call(
            fleet.at(target, fleet.ports.control),
            "PUT /v1/config HTTP/1.1",
            &[("Host", "control"), ("If-Match", &base.to_string()), ("Content-Type", "application/json")],
            document.as_bytes(),
            Duration::from_millis(1_000),
        );
        let status = answer.as_ref().map_or(0, Message::status);
        if status != last || status == 200 {
            let name = &fleet.machines[target].name;
            record.line(format!("PUT version {version} (If-Match {base}) at {name}: {status}"));
            last = status;
        }
        if status == 200 {
            return Some(began.elapsed());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    None
}

/// The version that a machine answers to `GET /v1/config`; the status where it answers none.
pub fn read(fleet: &Fleet, index: usize) -> Result<u64, u16> {
    let answer = call(
        fleet.at(index, fleet.ports.control),
        "GET /v1/config HTTP/1.1",
        &[("Host", "control")],
        b"",
        Duration::from_millis(1_500),
    );
    let Some(answer) = answer else { return Err(0) };
    if answer.status() != 200 {
        return Err(answer.status());
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let version = text.split("\"version\":").nth(1).and_then(|rest| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    version.ok_or(200)
}
