//! Parsing of requests to the administration API.

use std::str::FromStr;

use http::Method;
use serde::de::DeserializeOwned;

use crate::prelude::*;

/// A request with its path split into segments and its body read.
pub(super) struct Request<'a> {
    pub method: &'a Method,
    pub path: Vec<&'a str>,
    pub query: &'a str,
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Creates a request; `path` is the part after the prefix of the API and includes the query.
    pub fn new(method: &'a Method, path: &'a str, body: &'a [u8]) -> Self {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        Self {
            method,
            path: path.split('/').filter(|part| !part.is_empty()).collect(),
            query,
            body,
        }
    }

    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, BundleError> {
        serde_json::from_slice(self.body)
            .map_err(|err| BundleError::BadInput(format!("body is invalid: {err}")))
    }

    /// Parses a query parameter; `None` if it is absent.
    pub fn param<T: FromStr>(&self, name: &str) -> Result<Option<T>, BundleError> {
        let found = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name);
        found.map(|(_, value)| parse(name, value)).transpose()
    }
}

/// Parses part of the path or query; `name` identifies it in the error.
pub(super) fn parse<T: FromStr>(name: &str, text: &str) -> Result<T, BundleError> {
    text.parse()
        .map_err(|_| BundleError::BadInput(format!("{name} is invalid")))
}
