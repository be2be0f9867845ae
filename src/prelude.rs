//! Types that most modules use.

pub use std::sync::Arc;

pub use tokio_util::sync::CancellationToken;

pub use crate::error::{
    BundleError, CallError, DaemonError, DevError, ModelError, OtherChange, PlatformError,
    StoreError,
};
pub use crate::model::*;
