//! Counter of the requests in flight, for draining.

use prometheus::IntGauge;
use tokio::sync::watch;

use crate::prelude::*;

/// Counts requests from their arrival until their response has been written.
pub(super) struct InFlightCounter {
    count: watch::Sender<usize>,
    metric: IntGauge,
}

/// Guard that counts one request until its last clone is dropped.
#[derive(Clone)]
pub(super) struct InFlightGuard {
    _inner: Arc<GuardInner>,
}

struct GuardInner {
    counter: Arc<InFlightCounter>,
}

impl InFlightCounter {
    pub(super) fn new(metric: IntGauge) -> Arc<Self> {
        let (count, _) = watch::channel(0);
        Arc::new(Self { count, metric })
    }

    pub(super) fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        self.metric.inc();
        InFlightGuard {
            _inner: Arc::new(GuardInner {
                counter: self.clone(),
            }),
        }
    }

    pub(super) fn count(&self) -> usize {
        *self.count.borrow()
    }

    pub(super) async fn wait_zero(&self) {
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for GuardInner {
    fn drop(&mut self) {
        self.counter.count.send_modify(|count| *count -= 1);
        self.counter.metric.dec();
    }
}
