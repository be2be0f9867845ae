//! Checks the text of a bundle: the schema, and the rules that span several keys.

use std::str::FromStr;
use std::sync::LazyLock;

use crate::ini::{Document, Entry, Fault, Faults, SchemaCheck};
use crate::prelude::*;
use crate::schema::bundle::{Bundle, TeamSpec};

/// Schema of the bundle.
const SCHEMA: &str = include_str!("../../schema/bundle.json");

/// The schema, prepared once.
static CHECK: LazyLock<SchemaCheck> = LazyLock::new(|| SchemaCheck::new(SCHEMA, "Bundle"));

/// Longest text of a bundle; a stored record of at most 1 MB holds it next to the key ring.
pub const MAX_BUNDLE_BYTES: usize = 256 << 10;

/// What the two weights, and at most all class shares, add up to.
const WHOLE: u64 = 1000;

/// Limits of a service that sets none; `bundle.json` states the same defaults.
const DEFAULT_SLOTS: u64 = 8;
const DEFAULT_CONNECTIONS: u64 = 64;

/// A valid bundle with remarks that do not make it invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// Remarks with their places.
    pub notes: Vec<Fault>,
}

/// Checks the text of a bundle and reports every fault.
pub fn parse_bundle(text: &str) -> Result<Bundle, Faults> {
    check_bundle(text).map(|checked| checked.bundle)
}

/// Checks the text of a bundle and reports every fault, or the bundle with remarks.
pub fn check_bundle(text: &str) -> Result<CheckedBundle, Faults> {
    if text.len() > MAX_BUNDLE_BYTES {
        return Err(Faults(vec![Fault {
            line: 0,
            section: "bundle".to_string(),
            key: String::new(),
            message: format!("bundle exceeds {MAX_BUNDLE_BYTES} bytes"),
        }]));
    }
    let (doc, mut faults) = Document::parse_lossy(text);
    let bundle = CHECK
        .check::<Bundle>(&doc)
        .map_err(|found| faults.extend(found.0));
    check_weights(&doc, &mut faults);
    check_shares(&doc, &mut faults);
    for (section, _) in &doc.sections {
        if section.starts_with("service.") {
            check_service(&doc, section, &mut faults);
        }
    }
    faults.sort();
    faults.dedup();
    match bundle {
        Ok(bundle) if faults.is_empty() => Ok(CheckedBundle {
            notes: notes(&doc, &bundle),
            bundle,
        }),
        _ => Err(Faults(faults)),
    }
}

fn check_weights(doc: &Document, faults: &mut Vec<Fault>) {
    let batch = number(doc, "weights", "batch_throughput");
    let tail = number(doc, "weights", "tail_latency");
    let (Some((batch, _)), Some((tail, entry))) = (batch, tail) else {
        return;
    };
    let sum = batch.saturating_add(tail);
    if sum != WHOLE {
        faults.push(at(
            entry,
            format!("weights add up to {sum}, not to {WHOLE}"),
        ));
    }
}

fn check_shares(doc: &Document, faults: &mut Vec<Fault>) {
    let mut sum = 0_u64;
    for entry in &doc.entries {
        if !entry.section.starts_with("class.") || entry.key != "share" {
            continue;
        }
        let before = sum;
        sum = sum.saturating_add(entry.value.parse().unwrap_or(0));
        if before <= WHOLE && sum > WHOLE {
            faults.push(at(
                entry,
                format!("class shares add up to {sum} here, more than {WHOLE}"),
            ));
        }
    }
}

fn check_service(doc: &Document, section: &str, faults: &mut Vec<Fault>) {
    if let Some(entry) = doc.find(section, "default_class") {
        let class = format!("class.{}", entry.value);
        if ClassName::from_str(&entry.value).is_ok()
            && !doc.sections.iter().any(|(name, _)| *name == class)
        {
            faults.push(at(entry, format!("there is no section [{class}]")));
        }
    }
    let default = number(doc, section, "default_deadline_ms");
    let longest = number(doc, section, "max_deadline_ms");
    if let (Some((default, entry)), Some((longest, _))) = (default, longest)
        && default > longest
    {
        faults.push(at(
            entry,
            format!("default deadline of {default} ms exceeds max_deadline_ms of {longest} ms"),
        ));
    }
    let slots = number(doc, section, "slots_per_endpoint");
    let connections = number(doc, section, "connections_per_endpoint");
    let Some((_, entry)) = connections.or(slots) else {
        return;
    };
    let slots = slots.map_or(DEFAULT_SLOTS, |(count, _)| count);
    let connections = connections.map_or(DEFAULT_CONNECTIONS, |(count, _)| count);
    if connections < slots {
        faults.push(at(
            entry,
            format!("{connections} connections per endpoint cannot serve {slots} slots"),
        ));
    }
}

/// Reports quotas of zero, which are valid but keep a team from running batch work.
fn notes(doc: &Document, bundle: &Bundle) -> Vec<Fault> {
    let mut notes = Vec::new();
    for (team, spec) in &bundle.team {
        let section = format!("team.{team}");
        for (key, quota) in quotas(spec) {
            if quota > 0 {
                continue;
            }
            notes.push(Fault {
                line: doc
                    .find(&section, key)
                    .map_or_else(|| doc.section_line(&section), |entry| entry.line),
                section: section.clone(),
                key: key.to_string(),
                message: "quota is zero, so the team can run no batch task".to_string(),
            });
        }
    }
    notes.sort();
    notes
}

fn quotas(spec: &TeamSpec) -> [(&'static str, u64); 2] {
    [
        ("cpu_quota_millicores", spec.cpu_quota_millicores.get()),
        ("memory_quota_mebibytes", spec.memory_quota_mebibytes.get()),
    ]
}

fn number<'a>(doc: &'a Document, section: &str, key: &str) -> Option<(u64, &'a Entry)> {
    let entry = doc.find(section, key)?;
    Some((entry.value.parse().ok()?, entry))
}

fn at(entry: &Entry, message: String) -> Fault {
    Fault {
        line: entry.line,
        section: entry.section.clone(),
        key: entry.key.clone(),
        message,
    }
}
