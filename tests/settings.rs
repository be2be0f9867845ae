//! Settings files: every fault is reported with its place.

use sapphirecroft::settings::parse_settings;

fn example() -> String {
    std::fs::read_to_string("examples/tulua/entry-1.ini").expect("example is readable")
}

#[test]
fn example_settings_pass() {
    let settings = parse_settings(&example()).expect("example is valid");

    assert_eq!(settings.node.zone.as_str(), "tulua");
}

/// Guards against a check that stops at the first fault or loses its line.
#[test]
fn every_fault_has_its_section_key_and_line() {
    let text = example()
        .replace("callers = 127.0.0.1:7100", "callers = nowhere")
        .replace("store_timeout_ms = 500", "store_timeout_ms = soon")
        .replace("format = human", "fromat = human");

    let faults = parse_settings(&text).expect_err("settings are invalid");

    let places: Vec<(String, String, usize)> = faults
        .0
        .into_iter()
        .map(|fault| (fault.section, fault.key, fault.line))
        .collect();
    assert!(
        places.contains(&("listen".into(), "callers".into(), 9)),
        "{places:?}"
    );
    assert!(
        places.contains(&("platform".into(), "store_timeout_ms".into(), 16)),
        "{places:?}"
    );
    assert!(
        places.contains(&("log".into(), String::new(), 19)),
        "{places:?}"
    );
}
