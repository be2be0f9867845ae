//! Parsing of bundles and settings: all faults are reported in one pass, and no input causes a
//! panic.

mod bundle_support;

use bundle_support::{example, runner};
use proptest::prelude::*;
use sapphirecroft::bundle::{check_bundle, diff_bundles, parse_bundle};
use sapphirecroft::settings::parse_settings;

fn places(text: &str) -> Vec<(String, String, usize)> {
    let faults = parse_bundle(text).expect_err("bundle is invalid");
    faults
        .0
        .into_iter()
        .map(|fault| (fault.section, fault.key, fault.line))
        .collect()
}

/// Guards against example bundles that no longer pass the check or get warnings.
#[test]
fn both_examples_are_valid() {
    for site in ["tulua", "tran-hai"] {
        let text = std::fs::read_to_string(format!("examples/{site}/bundle.ini"))
            .expect("example is readable");

        let checked = check_bundle(&text).expect("example is valid");

        assert_eq!(checked.bundle.bundle.site.as_str(), site);
        assert_eq!(checked.notes, Vec::new());
    }
}

/// Guards against a rule across keys that is not checked or reports the wrong line, and against a
/// check that stops at syntax or schema faults.
#[test]
fn every_fault_is_reported_with_its_place_in_one_pass() {
    let text = example()
        .replace("batch_throughput = 700", "batch_throughput = 710")
        .replace("share = 400", "share = 900")
        .replace("max_deadline_ms = 30000", "max_deadline_ms = 3")
        .replace("default_class = booking", "default_class = missing")
        .replace(
            "connections_per_endpoint = 64",
            "connections_per_endpoint = 4",
        )
        .replace("hedge = true", "hedge")
        .replace(
            "cpu_quota_millicores = 1200000",
            "cpu_quota_millicores = -1",
        )
        .replace("accelerator_quota = 0", "accelerator_quota = 99999999999");

    let found = places(&text);

    let line_of = |start: &str| {
        let index = text.lines().position(|line| line.starts_with(start));
        index.expect("line exists") + 1
    };
    for (section, key) in [
        ("weights", "tail_latency"),
        ("service.ballast-booking", "default_class"),
        ("service.ballast-booking", "default_deadline_ms"),
        ("service.ballast-booking", "connections_per_endpoint"),
        ("service.ballast-booking", "hedge"),
        ("team.tractor-service", "cpu_quota_millicores"),
        ("team.tractor-service", "accelerator_quota"),
    ] {
        let place = (section.to_string(), key.to_string(), line_of(key));
        assert!(found.contains(&place), "{place:?} is not in {found:?}");
    }
    let share = ("class.booking".to_string(), "share".to_string());
    assert!(
        found
            .iter()
            .any(|(s, k, line)| (s, k) == (&share.0, &share.1) && *line == 27),
        "{found:?}"
    );
}

/// Guards against a quota of zero that is rejected, or accepted without a warning.
#[test]
fn zero_quota_gives_a_warning() {
    let text = example().replace("cpu_quota_millicores = 1200000", "cpu_quota_millicores = 0");

    let notes = check_bundle(&text).expect("bundle is valid").notes;

    let found: Vec<_> = notes.iter().map(|n| (n.section.as_str(), n.line)).collect();
    assert_eq!(found, [("team.tractor-service", 37)]);
}

/// Guards against a diff that reports order, comments or explicitly written defaults as changes.
#[test]
fn diff_lists_only_effective_changes() {
    let old = parse_bundle(&example()).expect("example is valid");
    let same = example()
        .replace("burst = 10\n", "")
        .replace(
            "urgency = 0\nshare = 400",
            "; comment\nshare = 400\nurgency = 0",
        )
        .replace("note = First bundle", "note = Another");
    let other = example()
        .replace("per_hour = 120", "per_hour = 60")
        .replace("[team.sugarcane-coop]", "[team.cane]");

    let none = diff_bundles(Some(&old), &parse_bundle(&same).expect("valid"));
    let some = diff_bundles(Some(&old), &parse_bundle(&other).expect("valid"));

    assert_eq!(none, Vec::new());
    let eviction = some
        .iter()
        .find(|c| c.section == "eviction")
        .expect("listed");
    assert_eq!(eviction.key, "per_hour");
    assert_eq!(eviction.old.as_deref(), Some("120"));
    assert_eq!(eviction.new.as_deref(), Some("60"));
    let gone = some.iter().filter(|c| c.section == "team.sugarcane-coop");
    let added = some.iter().filter(|c| c.section == "team.cane");
    assert_eq!(gone.filter(|c| c.new.is_none()).count(), 4);
    assert_eq!(added.filter(|c| c.old.is_none()).count(), 4);
}

/// Generates mutations of a valid text: lines are removed, duplicated, swapped or overwritten.
fn mutated(text: String) -> impl Strategy<Value = String> {
    let lines: Vec<String> = text.lines().map(str::to_string).collect();
    let edit = (
        0..lines.len(),
        0..5_u8,
        "[ -~\\n=\\[\\];é]{0,40}",
        0..lines.len(),
    );
    prop::collection::vec(edit, 1..6).prop_map(move |edits| {
        let mut lines = lines.clone();
        for (at, kind, junk, other) in edits {
            let at = at.min(lines.len() - 1);
            let other = other.min(lines.len() - 1);
            match kind {
                0 if lines.len() > 1 => drop(lines.remove(at)),
                1 => lines.insert(at, lines[other].clone()),
                2 => lines.swap(at, other),
                3 => lines[at] = junk,
                _ => {
                    let key = lines[at].split('=').next().unwrap_or_default().to_string();
                    lines[at] = format!("{key}= {junk}");
                }
            }
        }
        lines.join("\n")
    })
}

fn check_text(text: &str) -> Result<(), TestCaseError> {
    match check_bundle(text) {
        Ok(checked) => {
            let weights = &checked.bundle.weights;
            let sum = weights.batch_throughput.get() + weights.tail_latency.get();
            prop_assert_eq!(sum, 1000);
            let shares: u32 = checked.bundle.class.values().map(|c| c.share.get()).sum();
            prop_assert!(shares <= 1000);
            for service in checked.bundle.service.values() {
                prop_assert!(checked.bundle.class.contains_key(&service.default_class));
                prop_assert!(service.default_deadline_ms <= service.max_deadline_ms);
            }
        }
        Err(faults) => {
            prop_assert!(!faults.0.is_empty());
            prop_assert!(faults.0.iter().all(|fault| !fault.message.is_empty()));
        }
    }
    Ok(())
}

/// Guards against mutated or random bundles that cause a panic or are accepted although they
/// violate a rule.
#[test]
fn invalid_bundles_give_faults() {
    runner(300, 1)
        .run(&mutated(example()), |text| check_text(&text))
        .unwrap_or_else(|err| panic!("{err}"));
    runner(200, 2)
        .run(&any::<String>(), |text| check_text(&text))
        .unwrap_or_else(|err| panic!("{err}"));
}

/// Guards against mutated settings that cause a panic or are rejected without a message.
#[test]
fn invalid_settings_give_faults() {
    let text = std::fs::read_to_string("examples/tulua/entry-1.ini").expect("readable");
    runner(300, 3)
        .run(&mutated(text), |text| {
            if let Err(faults) = parse_settings(&text) {
                prop_assert!(!faults.0.is_empty());
                prop_assert!(faults.0.iter().all(|fault| !fault.message.is_empty()));
            }
            Ok(())
        })
        .unwrap_or_else(|err| panic!("{err}"));
}

/// Guards against a key that the reference page omits or describes with another range or default.
#[test]
fn operations_page_lists_every_key() {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").expect("page is readable");
    for name in ["settings", "bundle"] {
        let text = std::fs::read_to_string(format!("schema/{name}.json")).expect("readable");
        let schema: serde_json::Value = serde_json::from_str(&text).expect("schema is JSON");
        for (section, spec) in schema["definitions"].as_object().expect("definitions") {
            let members = spec["properties"].as_object();
            if ["Settings", "Bundle"].contains(&section.as_str()) {
                continue;
            }
            for (key, member) in members.into_iter().flatten() {
                let row = page.lines().find(|line| {
                    let bound = |name: &str| member[name].as_u64().map(|n| n.to_string());
                    line.starts_with(&format!("| `{key}` |"))
                        && bound("maximum").is_none_or(|n| line.contains(&format!("to {n} |")))
                        && bound("default").is_none_or(|n| line.contains(&format!("| `{n}` |")))
                });
                assert!(row.is_some(), "{section}.{key} is not on the page");
            }
        }
    }
}
