//! Cases of the second review: daemons of the project among stand-ins of the platform.
//!
//! `cases NAME RECORD` plays a case and exits with 1 if a rule was broken, 0 if all held and 2 if
//! the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod cancel;
mod gang;
mod handover;
mod http;
mod json;
mod random;
mod record;
mod site;
mod store;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = args.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        site::end_children();
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = match name.as_str() {
        "cancel" => cancel::play,
        "gang" => gang::play,
        "handover" => handover::play,
        _ => {
            eprintln!("there is no case {name}");
            exit(2);
        }
    };
    let result = Record::create(Path::new(path)).and_then(|record| {
        let record = Arc::new(record);
        play(record.clone(), trouble)?;
        Ok(record)
    });
    site::end_children();
    match result {
        Ok(record) => {
            let faults = record.faults();
            for fault in faults.iter().take(10) {
                println!("{fault}");
            }
            println!("{} faults", faults.len());
            exit(i32::from(!faults.is_empty()));
        }
        Err(err) => {
            eprintln!("{err}");
            exit(2);
        }
    }
}
