//! The operator commands, which use the control pages of a running node or work on local files.

use crate::command_line::{Change, Decisions};
use awc::Client;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const EXIT_REFUSED: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;

fn print_error(reason: impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("vanelane: {reason}");
    ExitCode::from(code)
}

/// Prints to standard output. Returns false if the reader is gone, which ends the command.
fn print_text(text: &[u8]) -> bool {
    let mut output = std::io::stdout().lock();
    output.write_all(text).and_then(|()| output.flush()).is_ok()
}

pub fn schema() -> ExitCode {
    print_text(configuration_schema::SCHEMA.as_bytes());
    ExitCode::SUCCESS
}

/// Quarantines a damaged record file. An intact file is refused: it holds the vote of its disk.
pub fn quarantine_records(folder: &Path) -> ExitCode {
    match record_file::quarantine_damaged(folder) {
        Ok(Some(path)) => {
            print_text(format!("{}\n", json!({"outcome": "set aside", "file": path})).as_bytes());
            ExitCode::SUCCESS
        }
        Ok(None) => {
            print_error(format!("{}: the records are sound or missing", folder.display()), EXIT_REFUSED)
        }
        Err(failure) => {
            print_error(format!("{}: {}", folder.display(), failure.current_context()), EXIT_REFUSED)
        }
    }
}

pub fn check_configuration(path: &Path) -> ExitCode {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(failure) => return print_error(format!("{}: {failure}", path.display()), EXIT_BAD_USAGE),
    };
    let document: Value = match serde_json::from_slice(&bytes) {
        Ok(document) => document,
        Err(failure) => return print_error(format!("{}: {failure}", path.display()), EXIT_BAD_USAGE),
    };
    match configuration_schema::check(&document) {
        Ok(configuration) => {
            let line = json!({
                "outcome": "sound",
                "allowances": configuration.quotas.len(),
                "functions": configuration.functions.len(),
                "lanes": configuration.routes.len(),
            });
            print_text(format!("{line}\n").as_bytes());
            ExitCode::SUCCESS
        }
        Err(reasons) => {
            print_text(format!("{}\n", json!({"outcome": "refused", "reasons": reasons})).as_bytes());
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

fn client() -> Client {
    Client::builder().disable_timeout().disable_redirects().finish()
}

fn block_on(work: impl std::future::Future<Output = ExitCode>) -> ExitCode {
    actix_rt::System::new().block_on(work)
}

pub fn change(change: Change) -> ExitCode {
    let bytes = match std::fs::read(&change.file) {
        Ok(bytes) => bytes,
        Err(failure) => return print_error(format!("{}: {failure}", change.file.display()), EXIT_BAD_USAGE),
    };
    let body = match change.whole_as {
        None => bytes,
        Some(change_id) => {
            let whole: Value = match serde_json::from_slice(&bytes) {
                Ok(whole) => whole,
                Err(failure) => {
                    return print_error(format!("{}: {failure}", change.file.display()), EXIT_BAD_USAGE);
                }
            };
            let mut line = json!({"change_id": change_id, "whole": whole});
            if let Some(generation) = change.expected_generation {
                line["expected_generation"] = json!(generation);
            }
            line.to_string().into_bytes()
        }
    };
    block_on(async move {
        let url = format!("http://{}/control/changes", change.control);
        let sending = client().post(url).timeout(Duration::from_secs(600)).send_body(body);
        let mut response = match sending.await {
            Ok(response) => response,
            Err(failure) => return print_error(failure, EXIT_UNREACHABLE),
        };
        let mut text = Vec::new();
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else { return print_error("the answer was cut", EXIT_UNREACHABLE) };
            text.extend_from_slice(&chunk);
            print_text(&chunk);
        }
        let is_accepted = |line: &[u8]| {
            serde_json::from_slice::<Value>(line).is_ok_and(|outcome| outcome["outcome"] == "accepted")
        };
        let all_accepted = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()).all(is_accepted);
        if all_accepted { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) }
    })
}

pub fn decisions(decisions: Decisions) -> ExitCode {
    let mut url = format!("http://{}/control/decisions?most=2000", decisions.control);
    if let Some(cursor) = &decisions.after {
        url.push_str(&format!("&after={cursor}"));
    }
    if decisions.follow {
        url.push_str("&follow=1");
    }
    print_response(url)
}

pub fn page(control: &SocketAddr, name: &str) -> ExitCode {
    print_response(format!("http://{control}/control/{name}"))
}

fn print_response(url: String) -> ExitCode {
    block_on(async move {
        let mut response = match client().get(url).send().await {
            Ok(response) => response,
            Err(failure) => return print_error(failure, EXIT_UNREACHABLE),
        };
        let is_success = response.status().is_success();
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else { return print_error("the answer was cut", EXIT_UNREACHABLE) };
            if !print_text(&chunk) {
                break;
            }
        }
        if is_success { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) }
    })
}
