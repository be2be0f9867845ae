//! Calls that other modules add to the administration API.

use async_trait::async_trait;
use http::Method;

use super::AdminAnswer;
use crate::schema::config::OperatorRecord;

/// A part of the administration API with paths of its own, such as jobs or status.
#[async_trait(?Send)]
pub trait AdminExtension: Send + Sync {
    /// Returns the start of the paths after `/admin/v1`, such as `/jobs`.
    fn prefix(&self) -> &str;

    /// Answers a call of an authenticated operator.
    ///
    /// `path` follows the prefix and includes the query. The extension checks roles and teams by
    /// `OperatorRecord::may` and `OperatorRecord::may_change`.
    async fn call(
        &self,
        operator: &OperatorRecord,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> AdminAnswer;
}
