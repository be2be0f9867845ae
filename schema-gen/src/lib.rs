//! Turns `schema/*.json` into the Rust modules under `src/schema`.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use schemars::schema::{RootSchema, Schema};
use serde_json::Value;
use typify::{TypeSpace, TypeSpaceSettings};

/// Keywords that narrow a type by value.
const BOUNDS: [&str; 4] = ["minimum", "maximum", "maxLength", "pattern"];

const HEADER: &str = "//! Generated from `schema/NAME.json` by `cargo run -p schema-gen`; do not edit.\n\n#![allow(clippy::all, missing_docs)]\n\n";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn definitions(path: &Path) -> BTreeMap<String, Schema> {
    let text = fs::read_to_string(path).expect("schema file is readable");
    let mut json: Value = serde_json::from_str(&text).expect("schema file is valid JSON");
    strip_bounds(&mut json);
    let schema: RootSchema = serde_json::from_value(json).expect("schema file is valid");
    schema.definitions
}

/// Drops bounds that the check of INI files enforces and that types do not express.
fn strip_bounds(json: &mut Value) {
    match json {
        Value::Object(object) => {
            for bound in BOUNDS {
                object.remove(bound);
            }
            object.values_mut().for_each(strip_bounds);
        }
        Value::Array(items) => items.iter_mut().for_each(strip_bounds),
        _ => {}
    }
}

/// Names of the hand-written newtypes that generated code refers to.
fn model_types() -> BTreeMap<String, Schema> {
    definitions(&root().join("schema/model.json"))
}

/// Generates the code of one schema file.
pub fn generate(name: &str) -> String {
    let model = model_types();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_string());
    settings.with_map_type("::std::collections::BTreeMap");
    for model_name in model.keys() {
        settings.with_replacement(
            model_name,
            format!("crate::model::{model_name}"),
            [
                typify::TypeSpaceImpl::Display,
                typify::TypeSpaceImpl::FromStr,
                typify::TypeSpaceImpl::Default,
            ]
            .into_iter(),
        );
    }
    let mut all = model;
    all.extend(definitions(&root().join(format!("schema/{name}.json"))));
    let mut space = TypeSpace::new(&settings);
    space
        .add_ref_types(all)
        .expect("schema can be turned into types");
    let file = syn::parse2(space.to_stream()).expect("generated code parses");
    let code = prettyplease::unparse(&file);
    HEADER.replace("NAME", name) + &strip_schema_notes(&code)
}

/// Drops the JSON copy of the schema that typify puts into doc comments.
fn strip_schema_notes(code: &str) -> String {
    let mut out = String::new();
    let mut inside = false;
    for line in code.lines() {
        let trimmed = line.trim_start();
        if trimmed.starts_with("/// <details>") {
            inside = true;
        }
        if !inside {
            out.push_str(line);
            out.push('\n');
        }
        if trimmed.starts_with("/// </details>") {
            inside = false;
        }
    }
    out
}

/// Names the schema files that code is generated from.
pub fn schema_names() -> Vec<String> {
    let mut names: Vec<String> = fs::read_dir(root().join("schema"))
        .expect("schema folder is readable")
        .map(|entry| entry.expect("entry is readable").path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "json"))
        .map(|path| {
            path.file_stem()
                .expect("file has a name")
                .to_string_lossy()
                .into_owned()
        })
        .filter(|name| name != "model")
        .collect();
    names.sort();
    names
}

/// Returns the path of the generated file of a schema.
pub fn target(name: &str) -> PathBuf {
    root().join(format!("src/schema/{name}.rs"))
}
