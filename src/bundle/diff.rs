//! What changes in effect from one bundle to another.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::prelude::*;
use crate::schema::bundle::Bundle;
use crate::schema::config::Change;

/// Key that describes a bundle and has no effect.
const NOTE: (&str, &str) = ("bundle", "note");

/// Lists the values that differ, defaults included; order and comments are no change.
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
    /// Returns the team whose section this is.
    pub fn team(&self) -> Option<TeamId> {
        self.section.strip_prefix("team.")?.parse().ok()
    }
}

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
                        values.insert((section.clone(), key), show(&value));
                    }
                }
                value => {
                    values.insert((section.clone(), name), show(&value));
                }
            }
        }
    }
    values.remove(&(NOTE.0.to_string(), NOTE.1.to_string()));
    values
}

fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
