//! Decides when a request whose response is slow is sent to a second upstream.
//!
//! An instance keeps the response times of each pool and route. A request that takes longer than a
//! quantile of them is hedged, within a limit on the share of requests and of their cost.

use std::collections;

use hdrhistogram::Histogram;

use crate::{ingress, name, plan, request_size, unit};

/// The limit that the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeLimit {
    /// The hedges per request. Zero disables hedging.
    pub ratio: f64,
    /// The quantile of the response times after which a request is hedged.
    pub quantile: f64,
    /// The length of the sliding window in which hedges are counted.
    pub window: unit::Millis,
}

impl HedgeLimit {
    /// Returns `true` if requests may be hedged.
    pub fn is_enabled(&self) -> bool {
        self.ratio > 0.0
    }
}

/// The reason why a request is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoHedgeReason {
    /// The hedges of the window have reached the limit.
    LimitReached,
    /// The second plan needs helpers.
    LongPrompt,
    /// The second plan names the upstream of the first attempt.
    SameUpstream,
    /// The second attempt would wait in a queue.
    Late,
    /// The second attempt is expected to take longer than responses usually do.
    Slow,
}

impl NoHedgeReason {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            NoHedgeReason::LimitReached => "limit_reached",
            NoHedgeReason::LongPrompt => "long_prompt",
            NoHedgeReason::SameUpstream => "same_upstream",
            NoHedgeReason::Late => "late",
            NoHedgeReason::Slow => "slow",
        }
    }
}

/// How long response times are collected before the older half of them is dropped.
const SAMPLE_PERIOD: unit::Millis = unit::Millis(30_000);

/// The number of samples that must lie beyond the quantile. With fewer, one outlier moves it.
const MIN_TAIL_SAMPLES: f64 = 3.0;

/// The longest response time that is told apart from longer ones.
const MAX_RESPONSE_TIME: unit::Millis = unit::Millis(60_000);

/// Significant decimal digits of response times. Two take about 5 KB for each histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The response times of one kind of requests in the current and the previous period.
#[derive(Debug)]
struct ResponseTimes {
    period_start: unit::Timestamp,
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl ResponseTimes {
    fn new(now: unit::Timestamp) -> ResponseTimes {
        let histogram: Histogram<u32> =
            Histogram::new_with_max(MAX_RESPONSE_TIME.0, SIGNIFICANT_DIGITS)
                .expect("the bounds and the precision are valid");
        ResponseTimes {
            period_start: now,
            current: histogram.clone(),
            previous: histogram,
        }
    }

    /// Drops the samples of periods before the previous one.
    fn age(&mut self, now: unit::Timestamp) {
        let elapsed = now.since(self.period_start);
        if elapsed < SAMPLE_PERIOD {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if elapsed >= SAMPLE_PERIOD + SAMPLE_PERIOD {
            self.previous.reset();
        }
        self.period_start = now;
    }

    fn record(&mut self, now: unit::Timestamp, elapsed: unit::Millis) {
        self.age(now);
        self.current.saturating_record(elapsed.0.max(1));
    }

    /// Returns the quantile, or `None` while there are too few samples.
    fn quantile(&mut self, now: unit::Timestamp, quantile: f64) -> Option<unit::Millis> {
        self.age(now);
        let samples = self.current.len() + self.previous.len();
        if samples as f64 * (1.0 - quantile) < MIN_TAIL_SAMPLES {
            return None;
        }
        let mut times = self.previous.clone();
        times.add(&self.current).ok()?;
        Some(unit::Millis(times.value_at_quantile(quantile)))
    }
}

/// The recent requests and hedges for one pool, with their cost.
#[derive(Debug, Default)]
struct HedgeWindow {
    requests: collections::VecDeque<(unit::Timestamp, unit::Tokens)>,
    hedges: collections::VecDeque<(unit::Timestamp, unit::Tokens)>,
}

fn total_cost(entries: &collections::VecDeque<(unit::Timestamp, unit::Tokens)>) -> f64 {
    entries.iter().map(|(_, cost)| cost.0 as f64).sum()
}

impl HedgeWindow {
    fn trim(&mut self, now: unit::Timestamp, window: unit::Millis) {
        for entries in [&mut self.requests, &mut self.hedges] {
            while entries
                .front()
                .is_some_and(|(at, _)| now.since(*at) > window)
            {
                entries.pop_front();
            }
        }
    }

    /// Returns `true` if the limit allows another hedge with this cost.
    fn allows(&mut self, now: unit::Timestamp, limit: &HedgeLimit, cost: unit::Tokens) -> bool {
        self.trim(now, limit.window);
        let hedges = (self.hedges.len() + 1) as f64;
        let hedge_cost = total_cost(&self.hedges) + cost.0 as f64;
        hedges <= limit.ratio * self.requests.len() as f64
            && hedge_cost <= limit.ratio * total_cost(&self.requests)
    }
}

/// The first attempt of a request, as far as it matters for a hedge.
#[derive(Clone, Copy, Debug)]
pub struct FirstAttempt<'a> {
    /// The route of the request.
    pub route: &'a name::RouteName,
    /// The pool of the request.
    pub pool: &'a name::PoolName,
    /// How the request may be retried.
    pub retry_policy: ingress::RetryPolicy,
    /// The size of the request.
    pub size: request_size::RequestSize,
    /// The plan of the attempt.
    pub plan: &'a plan::Plan,
}

/// The response times and hedges of one instance.
#[derive(Debug, Default)]
pub struct Hedging {
    response_times: collections::BTreeMap<(name::PoolName, name::RouteName), ResponseTimes>,
    windows: collections::BTreeMap<name::PoolName, HedgeWindow>,
}

impl Hedging {
    /// Records a request.
    pub fn record_request(
        &mut self,
        now: unit::Timestamp,
        limit: &HedgeLimit,
        first: &FirstAttempt<'_>,
    ) {
        let window = self.windows.entry(first.pool.clone()).or_default();
        window.trim(now, limit.window);
        window.requests.push_back((now, first.size.cost()));
    }

    /// Records the time from the send of a request to its first event, or to its complete response.
    /// For an attempt that was cancelled, this is the time until then, since it would have taken
    /// longer.
    pub fn record_response_time(
        &mut self,
        now: unit::Timestamp,
        first: &FirstAttempt<'_>,
        elapsed: unit::Millis,
    ) {
        let kind = (first.pool.clone(), first.route.clone());
        let times = self.response_times.entry(kind);
        let times = times.or_insert_with(|| ResponseTimes::new(now));
        times.record(now, elapsed);
    }

    /// Returns the time after the send at which the request is hedged, unless its response has come
    /// by then. Returns `None` if it is never hedged.
    pub fn delay(
        &mut self,
        now: unit::Timestamp,
        limit: &HedgeLimit,
        first: &FirstAttempt<'_>,
    ) -> Option<unit::Millis> {
        let may_repeat = first.retry_policy != ingress::RetryPolicy::Never;
        if !limit.is_enabled() || !may_repeat || !first.plan.helpers.is_empty() {
            return None;
        }
        let kind = (first.pool.clone(), first.route.clone());
        let times = self.response_times.get_mut(&kind)?;
        times.quantile(now, limit.quantile)
    }

    /// Checks whether the limit allows another hedge now.
    ///
    /// # Errors
    ///
    /// Returns [`NoHedgeReason::LimitReached`] otherwise.
    pub fn check_limit(
        &mut self,
        now: unit::Timestamp,
        limit: &HedgeLimit,
        first: &FirstAttempt<'_>,
    ) -> Result<(), NoHedgeReason> {
        let window = self.windows.entry(first.pool.clone()).or_default();
        if window.allows(now, limit, first.size.cost()) {
            Ok(())
        } else {
            Err(NoHedgeReason::LimitReached)
        }
    }

    /// Checks whether a second attempt helps, and counts it as a hedge. `delay` is the time after
    /// which the request is hedged.
    ///
    /// # Errors
    ///
    /// Returns the reason why the second attempt is not made. It is not counted then.
    pub fn take(
        &mut self,
        now: unit::Timestamp,
        limit: &HedgeLimit,
        first: &FirstAttempt<'_>,
        delay: unit::Millis,
        second: &plan::Plan,
    ) -> Result<(), NoHedgeReason> {
        check_second(first.plan, second, delay)?;
        self.check_limit(now, limit, first)?;
        let window = self.windows.entry(first.pool.clone()).or_default();
        window.hedges.push_back((now, first.size.cost()));
        Ok(())
    }
}

/// Checks the plan of a second attempt. One that is expected to take longer than `delay`, the usual
/// time of a response, would wait as well.
fn check_second(
    first: &plan::Plan,
    second: &plan::Plan,
    delay: unit::Millis,
) -> Result<(), NoHedgeReason> {
    if !second.helpers.is_empty() {
        return Err(NoHedgeReason::LongPrompt);
    }
    if second.lead.upstream == first.lead.upstream {
        return Err(NoHedgeReason::SameUpstream);
    }
    if second.timeliness == plan::Timeliness::Late {
        return Err(NoHedgeReason::Late);
    }
    if second.estimate > delay {
        return Err(NoHedgeReason::Slow);
    }
    Ok(())
}
