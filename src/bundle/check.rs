//! Validation of the text of a bundle against the schema and against rules that span several keys.

use std::str::FromStr;
use std::sync::LazyLock;

use crate::ini::{Document, Entry, Fault, Faults, SchemaCheck};
use crate::prelude::*;
use crate::schema::bundle::{Bundle, TeamSpec};

/// JSON schema of the bundle.
const SCHEMA: &str = include_str!("../../schema/bundle.json");

/// Schema validator, built once.
static CHECK: LazyLock<SchemaCheck> = LazyLock::new(|| SchemaCheck::new(SCHEMA, "Bundle"));

/// Maximum length of a bundle's text. One stored record of at most 1 MB contains the bundle and the
/// key ring.
pub const MAX_BUNDLE_BYTES: usize = 256 << 10;

/// Required sum of the two weights, and upper limit of the sum of all class shares, in permille.
const PERMILLE_TOTAL: u64 = 1000;

/// Slots per endpoint of a service that sets none; `bundle.json` states the same default.
const DEFAULT_SLOTS: u64 = 8;
/// Connections per endpoint of a service that sets none; `bundle.json` states the same default.
const DEFAULT_CONNECTIONS: u64 = 64;

/// A valid bundle with warnings about values that are probably unintended.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedBundle {
    /// Parsed bundle.
    pub bundle: Bundle,
    /// Warnings with line, section and key.
    pub notes: Vec<Fault>,
}

/// Parses the text of a bundle, or returns every fault in it.
pub fn parse_bundle(text: &str) -> Result<Bundle, Faults> {
    check_bundle(text).map(|checked| checked.bundle)
}

/// Parses the text of a bundle and returns it with warnings, or returns every fault in it.
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
    if sum != PERMILLE_TOTAL {
        faults.push(at(
            entry,
            format!("weights add up to {sum}, not to {PERMILLE_TOTAL}"),
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
        if before <= PERMILLE_TOTAL && sum > PERMILLE_TOTAL {
            faults.push(at(
                entry,
                format!("class shares add up to {sum} here, more than {PERMILLE_TOTAL}"),
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

/// Returns a warning for each quota of zero, which is valid but prevents a team from running batch
/// work.
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
