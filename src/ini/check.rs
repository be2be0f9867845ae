//! Checks an INI document against a JSON schema and reports every fault with its place.

use std::collections::BTreeMap;

use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Document, Fault, Faults};

/// Schema of the newtypes that all schemas refer to.
const MODEL_SCHEMA: &str = include_str!("../../schema/model.json");

/// A schema that turns INI documents into typed values.
///
/// A section `[a.b]` becomes the object `a` with the member `b`, so that a schema can describe
/// sections with a name of the operator's choice by `additionalProperties`.
pub struct SchemaCheck {
    schema: Value,
    validator: Validator,
}

impl SchemaCheck {
    /// Prepares the type `root` of a schema file's text.
    ///
    /// # Panics
    /// If the schema is invalid; schemas are part of the program.
    pub fn new(schema_text: &str, root: &str) -> Self {
        let mut definitions = self::definitions(MODEL_SCHEMA);
        definitions.extend(self::definitions(schema_text));
        let schema = serde_json::json!({
            "$ref": format!("#/definitions/{root}"),
            "definitions": definitions,
        });
        let validator = jsonschema::draft7::new(&schema).expect("built-in schema is valid");
        Self { schema, validator }
    }

    /// Checks a document and returns the typed value, or every fault.
    pub fn check<T: DeserializeOwned>(&self, doc: &Document) -> Result<T, Faults> {
        let (value, places) = self.to_json(doc);
        let mut faults: Vec<Fault> = self
            .validator
            .iter_errors(&value)
            .map(|err| {
                let pointer = err.instance_path.to_string();
                let fault = place_fault(&places, doc, &pointer, &err.to_string());
                match &err.kind {
                    ValidationErrorKind::Required { property } => missing(fault, property),
                    _ => fault,
                }
            })
            .collect();
        faults.sort();
        faults.dedup();
        if !faults.is_empty() {
            return Err(Faults(faults));
        }
        serde_json::from_value(value)
            .map_err(|err| Faults(vec![place_fault(&places, doc, "", &err.to_string())]))
    }

    fn to_json(&self, doc: &Document) -> (Value, BTreeMap<String, (String, String, usize)>) {
        let mut root = Map::new();
        let mut places = BTreeMap::new();
        for (section, line) in &doc.sections {
            let path: Vec<&str> = section.splitn(2, '.').collect();
            object_at(&mut root, &path);
            let pointer = path
                .iter()
                .map(|part| format!("/{}", escape(part)))
                .collect::<String>();
            places.insert(pointer, (section.clone(), String::new(), *line));
        }
        for entry in &doc.entries {
            let path: Vec<&str> = entry.section.splitn(2, '.').collect();
            let value = self.coerce(&path, &entry.key, &entry.value);
            let Some(object) = object_at(&mut root, &path) else {
                continue;
            };
            object.insert(entry.key.clone(), value);
            let pointer = path
                .iter()
                .chain([&entry.key.as_str()])
                .map(|part| format!("/{}", escape(part)))
                .collect::<String>();
            places.insert(
                pointer,
                (entry.section.clone(), entry.key.clone(), entry.line),
            );
        }
        (Value::Object(root), places)
    }

    /// Reads text as the type that the schema wants; text that does not fit stays text.
    fn coerce(&self, path: &[&str], key: &str, text: &str) -> Value {
        let mut schema = self.resolve(&self.schema);
        for part in path.iter().chain([&key]) {
            schema = self.member(schema, part);
        }
        self.coerce_as(schema, text)
    }

    fn coerce_as(&self, schema: &Value, text: &str) -> Value {
        match schema.get("type").and_then(Value::as_str) {
            Some("integer") => text
                .parse::<u64>()
                .map_or_else(|_| text.into(), Value::from),
            Some("number") => text
                .parse::<f64>()
                .ok()
                .and_then(serde_json::Number::from_f64)
                .map_or_else(|| text.into(), Value::Number),
            Some("boolean") => text
                .parse::<bool>()
                .map_or_else(|_| text.into(), Value::from),
            Some("array") => {
                let items = schema
                    .get("items")
                    .map_or(&Value::Null, |items| self.resolve(items));
                text.split(',')
                    .map(str::trim)
                    .filter(|item| !item.is_empty())
                    .map(|item| self.coerce_as(items, item))
                    .collect()
            }
            _ => text.into(),
        }
    }

    fn member<'a>(&'a self, schema: &'a Value, name: &str) -> &'a Value {
        let found = schema
            .get("properties")
            .and_then(|properties| properties.get(name))
            .or_else(|| schema.get("additionalProperties"))
            .unwrap_or(&Value::Null);
        self.resolve(found)
    }

    fn resolve<'a>(&'a self, schema: &'a Value) -> &'a Value {
        let reference = schema
            .get("$ref")
            .or_else(|| schema.pointer("/allOf/0/$ref"));
        let Some(reference) = reference.and_then(Value::as_str) else {
            return schema;
        };
        let target = self.schema.pointer(reference.trim_start_matches('#'));
        target.map_or(schema, |target| self.resolve(target))
    }
}

fn definitions(text: &str) -> Map<String, Value> {
    let schema: Value = serde_json::from_str(text).expect("built-in schema is valid JSON");
    schema
        .get("definitions")
        .and_then(Value::as_object)
        .cloned()
        .unwrap_or_default()
}

fn object_at<'a>(
    root: &'a mut Map<String, Value>,
    path: &[&str],
) -> Option<&'a mut Map<String, Value>> {
    let mut object = root;
    for part in path {
        object = object
            .entry((*part).to_string())
            .or_insert_with(|| Value::Object(Map::new()))
            .as_object_mut()?;
    }
    Some(object)
}

/// Escapes a name for a JSON pointer.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// Names the section or key that is missing.
fn missing(fault: Fault, property: &Value) -> Fault {
    let name = property.as_str().unwrap_or_default().to_string();
    let (section, key, what) = match fault.section.is_empty() {
        true => (name, String::new(), "section"),
        false => (fault.section, name, "key"),
    };
    Fault {
        section,
        key,
        message: format!("{what} is missing"),
        ..fault
    }
}

fn place_fault(
    places: &BTreeMap<String, (String, String, usize)>,
    doc: &Document,
    pointer: &str,
    message: &str,
) -> Fault {
    let mut prefix = pointer;
    loop {
        if let Some((section, key, line)) = places.get(prefix) {
            return Fault {
                line: *line,
                section: section.clone(),
                key: key.clone(),
                message: message.to_string(),
            };
        }
        let Some(end) = prefix.rfind('/') else { break };
        prefix = &prefix[..end];
    }
    let section = pointer.trim_start_matches('/').replace('/', ".");
    Fault {
        line: doc.section_line(&section),
        section,
        key: String::new(),
        message: message.to_string(),
    }
}
