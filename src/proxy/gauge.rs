//! Count of requests in progress, for draining.

use prometheus::IntGauge;
use tokio::sync::watch;

use crate::prelude::*;

/// Counts requests from their arrival until their answer has been passed on.
pub(super) struct Gauge {
    count: watch::Sender<usize>,
    metric: IntGauge,
}

/// Counts one request until its last clone is dropped.
#[derive(Clone)]
pub(super) struct InProgress {
    _held: Arc<Held>,
}

struct Held {
    gauge: Arc<Gauge>,
}

impl Gauge {
    pub(super) fn new(metric: IntGauge) -> Arc<Self> {
        let (count, _) = watch::channel(0);
        Arc::new(Self { count, metric })
    }

    pub(super) fn enter(self: &Arc<Self>) -> InProgress {
        self.count.send_modify(|count| *count += 1);
        self.metric.inc();
        InProgress {
            _held: Arc::new(Held {
                gauge: self.clone(),
            }),
        }
    }

    pub(super) fn count(&self) -> usize {
        *self.count.borrow()
    }

    pub(super) async fn zero(&self) {
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.gauge.count.send_modify(|count| *count -= 1);
        self.gauge.metric.dec();
    }
}
