//! Stand-ins of the platform's store, workers and clients, and the cases of the review.
//!
//! `review-standin case NAME RECORD` runs a case in the repository's root; `TROUBLE=0` leaves the
//! disruption out. `review-standin worker ...` is started by a case.

mod base64;
mod cases;
mod http;
mod json;
mod overlap;
mod random;
mod site;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["worker", id, listen, store, cpu, stop, kind, rack, log] => {
            worker::run(worker::Settings {
                id: id.to_string(),
                listen: listen.parse().expect("an address"),
                address: listen.parse().expect("an address"),
                store: store.parse().expect("an address"),
                cpu: cpu.parse().expect("a number"),
                stop: Duration::from_millis(stop.parse().expect("a number")),
                labels: [kind.to_string(), rack.to_string()],
                log: log.to_string(),
            });
            ExitCode::from(NOT_RUN)
        }
        ["case", name, record] => {
            let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            let record = Path::new(record);
            let held = match *name {
                "restarts" => cases::restarts::run(record, trouble),
                "dropped-route" => cases::dropped_route::run(record, trouble),
                "odd-entry" => cases::odd_entry::run(record, trouble),
                "pending" => cases::pending::run(record, trouble),
                _ => None,
            };
            ExitCode::from(match held {
                Some(true) => HELD,
                Some(false) => BROKEN,
                None => NOT_RUN,
            })
        }
        _ => ExitCode::from(NOT_RUN),
    }
}
