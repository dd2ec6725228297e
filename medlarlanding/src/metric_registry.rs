//! Creates, registers and renders Prometheus metrics.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Registry of the metrics of one process.
pub struct MetricRegistry {
    registry: Registry,
}

impl MetricRegistry {
    /// Creates an empty registry. Each metric name begins with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails on a malformed prefix, which is a defect.
    pub fn new(prefix: &str) -> anyhow::Result<Self> {
        Ok(Self { registry: Registry::new_custom(Some(prefix.to_owned()), None)? })
    }

    /// Creates and registers a counter.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn counter(&self, name: &str, help: &str) -> anyhow::Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Creates and registers a counter with labels.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> anyhow::Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Creates and registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn gauge(&self, name: &str, help: &str) -> anyhow::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Creates and registers a gauge with labels.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> anyhow::Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Creates and registers a histogram; `bounds` are the upper bounds of its buckets.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> anyhow::Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Creates and registers a histogram with labels; `bounds` are the upper bounds of its buckets.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        bounds: &[f64],
    ) -> anyhow::Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histograms = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }

    /// Writes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded, which is a defect.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
