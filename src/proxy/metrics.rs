//! Prometheus metrics of the request path.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, Result,
};

use crate::prelude::*;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Metrics of the request path.
#[derive(Clone, Debug)]
pub struct ProxyMetrics {
    requests: IntCounterVec,
    /// Time from the arrival of a request to the end of its response.
    pub latency: Histogram,
    /// Number of connections to endpoints and peers, including those being closed.
    pub connections: IntGauge,
    /// Number of retries.
    pub retries: IntCounter,
    /// Number of hedged attempts.
    pub hedges: IntCounter,
    /// Number of requests forwarded to peers.
    pub forwards: IntCounter,
    /// Number of requests in flight.
    pub in_flight: IntGauge,
}

impl ProxyMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> Result<Self> {
        let requests = Opts::new(
            "sapphirecroft_requests_total",
            "Requests by service, class and outcome.",
        );
        let latency = HistogramOpts::new(
            "sapphirecroft_request_seconds",
            "Time from the arrival of a request to the end of its answer.",
        );
        let metrics = Self {
            requests: IntCounterVec::new(requests, &["service", "class", "outcome"])?,
            latency: Histogram::with_opts(latency.buckets(LATENCY_BUCKETS.to_vec()))?,
            connections: IntGauge::new(
                "sapphirecroft_connections_open",
                "Connections to endpoints and peers.",
            )?,
            retries: IntCounter::new("sapphirecroft_resends_total", "Requests sent again.")?,
            hedges: IntCounter::new("sapphirecroft_hedges_total", "Hedged attempts.")?,
            forwards: IntCounter::new("sapphirecroft_forwards_total", "Requests sent to peers.")?,
            in_flight: IntGauge::new(
                "sapphirecroft_requests_in_progress",
                "Requests in progress.",
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.hedges.clone()))?;
        registry.register(Box::new(metrics.forwards.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        Ok(metrics)
    }

    /// Records the outcome and the latency of a request.
    pub fn count(&self, service: &str, class: &str, end: RequestOutcome, latency: Millis) {
        self.requests
            .with_label_values(&[service, class, end.as_str()])
            .inc();
        let seconds = std::time::Duration::from(latency).as_secs_f64();
        self.latency.observe(seconds);
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response was relayed.
    Answered,
    /// A recorded response was repeated.
    Repeated,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The response was cut off, and the caller's connection was aborted.
    CutOff,
    /// The caller disconnected.
    Abandoned,
    /// A complete response of a peer was relayed.
    Forwarded,
}

impl RequestOutcome {
    /// Returns the outcome as used in metric labels and headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Repeated => "repeated",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::CutOff => "cut-off",
            Self::Abandoned => "abandoned",
            Self::Forwarded => "forwarded",
        }
    }
}
