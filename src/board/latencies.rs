//! Latency histograms, recorded on the request path and read by the metrics page.

use std::sync::OnceLock;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

/// Upper bounds of the histogram buckets in seconds: from the response of a health check to the
/// longest timeout.
const BOUNDS_S: [f64; 13] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0];

/// A latency of the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// A request, from its headers to its final response.
    Request,
    /// One attempt at a backend server.
    Send,
    /// Time in the queue for a slot.
    Wait,
}

/// The latency histograms; they record nothing until registered.
#[derive(Debug, Default)]
pub struct Latencies {
    request: OnceLock<Histogram<f64>>,
    send: OnceLock<Histogram<f64>>,
    wait: OnceLock<Histogram<f64>>,
}

impl Latencies {
    /// The histogram of a latency.
    fn histogram(&self, latency: Latency) -> &OnceLock<Histogram<f64>> {
        match latency {
            Latency::Request => &self.request,
            Latency::Send => &self.send,
            Latency::Wait => &self.wait,
        }
    }

    /// Creates the histograms of a metrics page.
    pub fn register(&self, meter: &Meter) {
        let named = [
            (Latency::Request, "sorrelwick_request", "Requests, from their head to their answer."),
            (Latency::Send, "sorrelwick_send", "Sends to backend servers."),
            (Latency::Wait, "sorrelwick_wait", "Waiting for a slot of a backend server."),
        ];
        for (latency, name, help) in named {
            let histogram = meter.f64_histogram(name).with_unit("s").with_description(help);
            let histogram = histogram.with_boundaries(BOUNDS_S.to_vec()).build();
            self.histogram(latency).get_or_init(|| histogram);
        }
    }

    /// Records a sample, labelled with its outcome.
    pub fn record(&self, latency: Latency, elapsed: Duration, outcome: &'static str) {
        if let Some(histogram) = self.histogram(latency).get() {
            histogram.record(elapsed.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
        }
    }
}
