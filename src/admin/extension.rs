//! Interface for calls that other modules add to the administration API.

use async_trait::async_trait;
use http::Method;

use super::AdminAnswer;
use crate::schema::config::OperatorRecord;

/// Part of the administration API under a path prefix of its own, such as jobs or status.
#[async_trait(?Send)]
pub trait AdminExtension: Send + Sync {
    /// Returns the path prefix after `/admin/v1`, such as `/jobs`.
    fn prefix(&self) -> &str;

    /// Handles a call of an authenticated operator.
    ///
    /// `path` is the part after the prefix and includes the query. The extension must check roles
    /// and teams with `OperatorRecord::may` and `OperatorRecord::may_change`.
    async fn call(
        &self,
        operator: &OperatorRecord,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> AdminAnswer;
}
