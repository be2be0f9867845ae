//! Comparison of the effective values of two bundles.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::prelude::*;
use crate::schema::bundle::Bundle;
use crate::schema::config::Change;

/// Section and key of the description of a bundle, which has no effect.
const NOTE_KEY: (&str, &str) = ("bundle", "note");

/// Returns the values that differ, including defaults. Order, comments and explicitly written
/// defaults make no difference.
pub fn diff_bundles(old: Option<&Bundle>, new: &Bundle) -> Vec<Change> {
    let old = old.map(flatten).unwrap_or_default();
    let new = flatten(new);
    let places: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    places
        .into_iter()
        .filter(|place| old.get(*place) != new.get(*place))
        .map(|place| Change {
            section: place.0.clone(),
            key: place.1.clone(),
            old: old.get(place).cloned(),
            new: new.get(place).cloned(),
        })
        .collect()
}

impl Change {
    /// Returns the team whose section the change is in; `None` for a shared section.
    pub fn team(&self) -> Option<TeamId> {
        self.section.strip_prefix("team.")?.parse().ok()
    }
}

/// Returns all values of a bundle as text by section and key, without `NOTE_KEY`.
fn flatten(bundle: &Bundle) -> BTreeMap<(String, String), String> {
    let mut values = BTreeMap::new();
    let Ok(Value::Object(root)) = serde_json::to_value(bundle) else {
        return values;
    };
    for (section, members) in root {
        let Value::Object(members) = members else {
            continue;
        };
        for (name, value) in members {
            match value {
                Value::Object(keys) => {
                    let section = format!("{section}.{name}");
                    for (key, value) in keys {
                        values.insert((section.clone(), key), display_value(&value));
                    }
                }
                value => {
                    values.insert((section.clone(), name), display_value(&value));
                }
            }
        }
    }
    values.remove(&(NOTE_KEY.0.to_string(), NOTE_KEY.1.to_string()));
    values
}

fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
