//! Stand-ins for the review's cases: the users' platform with its cells, clients and an operator, over plain
//! HTTP/1.1 on loopback, and the start and end of vanelane's processes. Only the standard library is used.
//!
//! `review_case N` runs case N. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod cells;
mod fleet;
mod http;
mod record;

use std::process::exit;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match name.as_str() {
        "1" => cases::extra_refusal(trouble),
        "2" => cases::nested_prefix(trouble),
        _ => Err(format!("no case {name}")),
    };
    match outcome {
        Ok(0) => {
            println!("held");
            exit(0)
        }
        Ok(broken) => {
            println!("broken {broken} times");
            exit(1)
        }
        Err(reason) => {
            eprintln!("could not run: {reason}");
            exit(2)
        }
    }
}
