//! Explanation of a job's outcome from the logs of several daemons.

use sapphirecroft::explain::{LogLine, Story};

fn lines(texts: &[&str]) -> Vec<LogLine> {
    let read = |text: &&str| {
        let (process, line) = text.split_once(' ').expect("process and line");
        LogLine::parse(process, line).expect("a line of a log")
    };
    texts.iter().map(read).collect()
}

const REFUSED: [&str; 4] = [
    r#"b {"timestamp":"2026-05-01T10:00:01.100000Z","level":"WARN","message":"store lost","call":"watch"}"#,
    r#"a {"timestamp":"2026-05-01T10:00:01.000000Z","level":"INFO","message":"request answered","job":"0a","verb":"submit","status":504}"#,
    r#"b {"timestamp":"2026-05-01T10:00:02.000000Z","level":"INFO","message":"request answered","job":"0a","verb":"submit","status":503}"#,
    r#"b {"timestamp":"2026-05-01T10:00:02.500000Z","level":"INFO","message":"request answered","job":"0b","verb":"submit","status":200}"#,
];

const LATE: [&str; 5] = [
    r#"a {"timestamp":"2026-05-01T10:00:01.000000Z","level":"INFO","message":"request answered","job":"0a","verb":"submit","status":200}"#,
    r#"a {"timestamp":"2026-05-01T10:00:02.700000Z","level":"INFO","message":"leadership taken","fence":9}"#,
    r#"a {"timestamp":"2026-05-01T10:00:03.000000Z","level":"INFO","message":"state loaded","jobs":3}"#,
    r#"a {"timestamp":"2026-05-01T10:00:03.100000Z","level":"INFO","message":"start","task":"0a.0.0.0","run":1,"worker":"w"}"#,
    r#"a {"timestamp":"2026-05-01T10:00:03.900000Z","level":"INFO","message":"job ended","job":"0a","phase":"Completed"}"#,
];

const FAILED: [&str; 4] = [
    r#"a {"timestamp":"2026-05-01T10:00:01.000000Z","level":"INFO","message":"request answered","job":"0a","verb":"submit","status":200}"#,
    r#"a {"timestamp":"2026-05-01T10:00:01.100000Z","level":"INFO","message":"start","task":"0a.0.0.0","run":1,"worker":"w"}"#,
    r#"a {"timestamp":"2026-05-01T10:00:01.500000Z","level":"INFO","message":"run failed","task":"0a.0.0.0","run":2,"worker":"w","failures":2,"most":2}"#,
    r#"a {"timestamp":"2026-05-01T10:00:01.600000Z","level":"INFO","message":"job ended","job":"0a","phase":"Failed"}"#,
];

/// Guards against an explanation that leaves the operator to find the line that decided the outcome
/// of a refused, late or failed job.
#[test]
fn decisive_line_is_marked() {
    let refused = Story::new("0a", lines(&REFUSED)).to_string();
    let late = Story::new("0a", lines(&LATE)).to_string();
    let failed = Story::new("0a", lines(&FAILED)).to_string();

    insta::assert_snapshot!(refused, @r"
       2026-05-01T10:00:01.000000Z a request answered job=0a verb=submit status=504
    => 2026-05-01T10:00:01.100000Z b store lost call=watch
       2026-05-01T10:00:02.000000Z b request answered job=0a verb=submit status=503
    cause: refused, and not run (status 503)
    ");
    insta::assert_snapshot!(late, @r"
       2026-05-01T10:00:01.000000Z a request answered job=0a verb=submit status=200
       2026-05-01T10:00:02.700000Z a leadership taken fence=9
    => 2026-05-01T10:00:03.000000Z a state loaded jobs=3
       2026-05-01T10:00:03.100000Z a start task=0a.0.0.0 run=1 worker=w
       2026-05-01T10:00:03.900000Z a job ended job=0a phase=Completed
    cause: it waited 2100 ms for its first start, last behind: state loaded
    ");
    insta::assert_snapshot!(failed, @r"
       2026-05-01T10:00:01.000000Z a request answered job=0a verb=submit status=200
       2026-05-01T10:00:01.100000Z a start task=0a.0.0.0 run=1 worker=w
    => 2026-05-01T10:00:01.500000Z a run failed task=0a.0.0.0 run=2 worker=w failures=2 most=2
       2026-05-01T10:00:01.600000Z a job ended job=0a phase=Failed
    cause: a task has failed 2 times
    ");
}

/// Guards against log lines that are not found because a log collector writes a prefix before them,
/// and against lines of the collector itself that are taken for log lines.
#[test]
fn process_name_is_read_from_the_prefix_of_a_line() {
    let line = LogLine::parse(
        "file",
        &format!("  12.5 {}", FAILED[0].replace("a {", "edge-1 {")),
    );

    let line = line.expect("a line of a log");
    assert_eq!(line.process, "edge-1");
    assert!(line.is_about("0a") && !line.is_about("0"));
    assert_eq!(LogLine::parse("file", "no JSON here"), None);
}
