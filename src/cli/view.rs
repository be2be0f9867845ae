//! `sapphirecroft status | workers | endpoints | peers`: the state of one entry process.

use bpaf::{Parser, construct};
use serde_json::Value;

use super::api::{Api, api};
use super::{CliError, Output};

/// A view of one entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    name: &'static str,
    api: Api,
}

pub(super) fn view() -> impl Parser<View> {
    let status = one(
        "status",
        "Show bundle, membership and load of an entry process",
    );
    let workers = one("workers", "List the workers that an entry process owns");
    let endpoints = one(
        "endpoints",
        "List endpoints with the slots of an entry process",
    );
    let peers = one("peers", "List the members that an entry process knows");
    construct!([status, workers, endpoints, peers])
}

fn one(name: &'static str, help: &'static str) -> impl Parser<View> {
    let api = api();
    construct!(api)
        .map(move |api| View { name, api })
        .to_options()
        .descr(help)
        .command(name)
        .help(help)
}

impl View {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let data: Value = self.api.get(&format!("/view/{}", self.name)).await?;
        Output::data(self.api.json, &data, human)
    }
}

/// Renders an object as lines, or a list as one line an item.
pub(super) fn human(data: &Value) -> String {
    match data {
        Value::Array(items) => {
            let lines: Vec<String> = items.iter().map(|item| fields(item, "  ")).collect();
            lines.join("\n")
        }
        other => fields(other, "\n"),
    }
}

fn fields(item: &Value, separator: &str) -> String {
    let Value::Object(object) = item else {
        return plain(item);
    };
    let fields: Vec<String> = object
        .iter()
        .map(|(key, value)| format!("{key}={}", plain(value)))
        .collect();
    fields.join(separator)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
