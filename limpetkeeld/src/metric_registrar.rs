//! Registration of metrics.

/// Creates metrics and adds them to a registry.
///
/// The registry refuses a metric only if its definition is wrong, which is a programming error.
pub(crate) struct MetricRegistrar<'a>(pub(crate) &'a prometheus::Registry);

impl MetricRegistrar<'_> {
    pub(crate) fn register<C: prometheus::core::Collector + Clone + 'static>(
        &self,
        collector: prometheus::Result<C>,
    ) -> prometheus::Result<C> {
        let collector = collector?;
        self.0.register(Box::new(collector.clone()))?;
        Ok(collector)
    }

    pub(crate) fn counter_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<prometheus::IntCounterVec> {
        self.register(prometheus::IntCounterVec::new(
            prometheus::Opts::new(name, help),
            labels,
        ))
    }

    pub(crate) fn counter(
        &self,
        name: &str,
        help: &str,
    ) -> prometheus::Result<prometheus::IntCounter> {
        self.register(prometheus::IntCounter::new(name, help))
    }

    pub(crate) fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<prometheus::IntGaugeVec> {
        self.register(prometheus::IntGaugeVec::new(
            prometheus::Opts::new(name, help),
            labels,
        ))
    }

    pub(crate) fn gauge(&self, name: &str, help: &str) -> prometheus::Result<prometheus::IntGauge> {
        self.register(prometheus::IntGauge::new(name, help))
    }
}
