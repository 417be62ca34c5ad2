//! Counters and gauges as `opentelemetry` instruments, exported for Prometheus.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::board::Blackboard;
use crate::board::Counter;

/// The metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all counters and gauges of the blackboard.
    ///
    /// # Panics
    /// Never: a new registry has no metrics whose names could conflict.
    #[must_use]
    pub fn register(board: &Arc<Blackboard>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.expect("a new registry has no conflicting metrics");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sorrelwick");
        for (counter, name, help) in Counter::ALL {
            let board = Arc::clone(board);
            let counter = *counter;
            meter
                .u64_observable_counter(format!("sorrelwick_{name}"))
                .with_description(*help)
                .with_callback(move |seen| seen.observe(board.counters.get(counter), &[]))
                .build();
        }
        board.latencies.register(&meter);
        let observed = Arc::clone(board);
        meter
            .u64_observable_gauge("sorrelwick_outcome_rows")
            .with_description("Rows in the record of keyed requests.")
            .with_callback(move |seen| seen.observe(observed.outcomes.len() as u64, &[]))
            .build();
        let observed = Arc::clone(board);
        meter
            .u64_observable_gauge("sorrelwick_zone_evacuated")
            .with_description("1 for each availability zone that is evacuated.")
            .with_callback(move |seen| {
                for zone in observed.evacuated_zones().iter() {
                    seen.observe(1, &[KeyValue::new("zone", zone.to_string())]);
                }
            })
            .build();
        let observed = Arc::clone(board);
        meter
            .u64_observable_gauge("sorrelwick_requests_in_flight")
            .with_description("Callers' requests without answer yet.")
            .with_callback(move |seen| seen.observe(observed.requests_in_flight() as u64, &[]))
            .build();
        Self { registry, _provider: provider }
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        encoded.map_or_else(|_| String::new(), |()| String::from_utf8(bytes).unwrap_or_default())
    }
}
