//! Prometheus metrics of the daemon.

use prometheus::{
    CounterVec, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::prelude::*;
use crate::telemetry::Activity;
use crate::web::InboundLoad;

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Metrics of a daemon and the registry that exports them.
pub(super) struct EntryMetrics {
    registry: Registry,
    /// Requests of callers by verb and outcome.
    pub requests: IntCounterVec,
    /// Latency of requests of callers by verb.
    pub request_seconds: HistogramVec,
    /// Store calls by method and outcome.
    pub store_calls: IntCounterVec,
    /// Start commands by the worker's response.
    pub starts: IntCounterVec,
    /// Time from the change of a job to its durable record.
    pub record_seconds: Histogram,
    /// Delay of timers, as a measure of the load of the event loop.
    pub loop_delay_seconds: Histogram,
    /// Planning rounds.
    pub plan_rounds: IntCounter,
    /// Searches of the whole fleet by planning rounds.
    pub searches: IntCounter,
    /// Processor time by activity.
    busy_seconds: CounterVec,
    /// Times that this process became leader.
    pub leaderships: IntCounter,
    /// Number of jobs, workers and runs that the leader knows.
    pub known: IntGaugeVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Time since the configuration in force was last known to be the newest.
    config_age_seconds: Gauge,
    /// Open connections of clients.
    inbound_connections: IntGauge,
    /// Memory of connections of clients and the requests on them.
    inbound_bytes: IntGauge,
    /// Connections of clients that were closed or refused to keep the limits.
    inbound_closed: IntGauge,
}

impl EntryMetrics {
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let requests = counters(
            "sapphirecroft_requests_total",
            "Requests of callers by verb and outcome",
            &["verb", "outcome"],
        )?;
        let store_calls = counters(
            "sapphirecroft_store_calls_total",
            "Calls to the key-value service by call and outcome",
            &["call", "outcome"],
        )?;
        let starts = counters(
            "sapphirecroft_starts_total",
            "Starts of runs by the worker's answer",
            &["answer"],
        )?;
        let request_seconds = HistogramVec::new(
            HistogramOpts::new("sapphirecroft_request_seconds", "Time to answer a caller")
                .buckets(BUCKETS.to_vec()),
            &["verb"],
        )?;
        let record_seconds = Histogram::with_opts(
            HistogramOpts::new(
                "sapphirecroft_record_seconds",
                "Time from the change of a job to its durable record",
            )
            .buckets(BUCKETS.to_vec()),
        )?;
        let loop_delay_seconds = Histogram::with_opts(
            HistogramOpts::new(
                "sapphirecroft_loop_delay_seconds",
                "Delay of timers while this process leads",
            )
            .buckets(BUCKETS.to_vec()),
        )?;
        let busy_seconds = CounterVec::new(
            Opts::new(
                "sapphirecroft_busy_seconds_total",
                "Processor time by activity",
            ),
            &["activity"],
        )?;
        registry.register(Box::new(loop_delay_seconds.clone()))?;
        registry.register(Box::new(busy_seconds.clone()))?;
        let plan_rounds = IntCounter::new("sapphirecroft_plan_rounds_total", "Planning rounds")?;
        let searches = IntCounter::new(
            "sapphirecroft_searches_total",
            "Searches of the whole fleet by planning rounds",
        )?;
        registry.register(Box::new(plan_rounds.clone()))?;
        registry.register(Box::new(searches.clone()))?;
        let leaderships = IntCounter::new(
            "sapphirecroft_leaderships_total",
            "Times that this process became leader",
        )?;
        let known = IntGaugeVec::new(
            Opts::new("sapphirecroft_known", "Objects that the leader knows"),
            &["kind"],
        )?;
        let config_version = IntGauge::new(
            "sapphirecroft_config_version",
            "Version of the configuration in force",
        )?;
        registry.register(Box::new(request_seconds.clone()))?;
        registry.register(Box::new(record_seconds.clone()))?;
        registry.register(Box::new(leaderships.clone()))?;
        registry.register(Box::new(known.clone()))?;
        registry.register(Box::new(config_version.clone()))?;
        let config_age_seconds = Gauge::new(
            "sapphirecroft_config_age_seconds",
            "Time since the configuration in force was last known to be the newest",
        )?;
        registry.register(Box::new(config_age_seconds.clone()))?;
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let inbound_connections = gauge(
            "sapphirecroft_inbound_connections",
            "Open connections of clients to all ports",
        )?;
        let inbound_bytes = gauge(
            "sapphirecroft_inbound_bytes",
            "Memory of connections of clients and the requests on them",
        )?;
        let inbound_closed = gauge(
            "sapphirecroft_inbound_closed",
            "Connections of clients closed or refused to keep the limits, since the start",
        )?;
        Ok(Self {
            registry,
            requests,
            request_seconds,
            store_calls,
            starts,
            record_seconds,
            loop_delay_seconds,
            plan_rounds,
            searches,
            busy_seconds,
            leaderships,
            known,
            config_version,
            config_age_seconds,
            inbound_connections,
            inbound_bytes,
            inbound_closed,
        })
    }

    /// Encodes all metrics in the text format of Prometheus.
    pub fn encode_text(
        &self,
        config_age: Option<Millis>,
        inbound: InboundLoad,
    ) -> Result<Vec<u8>, prometheus::Error> {
        let config_age = std::time::Duration::from(config_age.unwrap_or_default());
        self.config_age_seconds.set(config_age.as_secs_f64());
        let to_gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.inbound_connections.set(to_gauge(inbound.connections));
        self.inbound_bytes.set(to_gauge(inbound.bytes));
        let closed = i64::try_from(inbound.closed).unwrap_or(i64::MAX);
        self.inbound_closed.set(closed);
        for activity in Activity::ALL {
            let counter = self.busy_seconds.with_label_values(&[activity.name()]);
            counter.inc_by((activity.total().as_secs_f64() - counter.get()).max(0.0));
        }
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
