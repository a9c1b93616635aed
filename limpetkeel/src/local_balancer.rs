//! Placement policies that work without a keeper, as baselines for comparison.

use std::{collections, net};

use crate::{error, grant, name};

/// How an entry instance places requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The keeper of the pool assigns each request to an upstream when one has capacity for it.
    #[default]
    Keeper,
    /// Each instance cycles through the upstreams, which serve requests in order of arrival.
    RoundRobin,
    /// Each instance chooses the less loaded of two random upstreams.
    ///
    /// The load is the larger of the last reported load, which lags, and the number of requests
    /// that the instance has in flight on the upstream.
    PowerOfTwo,
}

/// An upstream that requests can be placed on.
#[derive(Debug)]
struct Candidate {
    address: net::SocketAddr,
    /// The number of running requests in the last report.
    reported_running: usize,
    /// The number of requests that this instance has in flight on the upstream.
    in_flight: usize,
}

/// The placement state of one instance that uses a policy without a keeper.
#[derive(Debug, Default)]
pub struct LocalBalancer {
    candidates: collections::BTreeMap<name::UpstreamName, Candidate>,
    round_robin_index: usize,
}

impl LocalBalancer {
    /// Replaces the set of upstreams; upstreams in both sets keep their load.
    pub fn set_upstreams(&mut self, listed: &[(name::UpstreamName, net::SocketAddr)]) {
        self.candidates
            .retain(|name, _| listed.iter().any(|(listed, _)| listed == name));
        for (name, address) in listed {
            self.candidates.entry(name.clone()).or_insert(Candidate {
                address: *address,
                reported_running: 0,
                in_flight: 0,
            });
        }
    }

    /// Sets the number of running requests that an upstream reported.
    ///
    /// Unknown upstreams are ignored.
    pub fn set_reported_load(&mut self, name: &name::UpstreamName, running: usize) {
        if let Some(candidate) = self.candidates.get_mut(name) {
            candidate.reported_running = running;
        }
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// Only [`Policy::PowerOfTwo`] uses the random numbers.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NoUpstream`] if the pool has no upstream.
    pub fn pick(
        &mut self,
        policy: Policy,
        request: &grant::PlacementRequest,
        random: [usize; 2],
    ) -> error::Result<grant::Grant> {
        let len = self.candidates.len();
        if len == 0 {
            return Err(error::Error::NoUpstream(request.pool.clone()));
        }
        let index = match policy {
            Policy::PowerOfTwo => self.less_loaded(random[0] % len, random[1] % len),
            Policy::Keeper | Policy::RoundRobin => {
                self.round_robin_index = self.round_robin_index.wrapping_add(1);
                self.round_robin_index % len
            }
        };
        let Some((name, candidate)) = self.candidates.iter_mut().nth(index) else {
            return Err(error::Error::NoUpstream(request.pool.clone()));
        };
        candidate.in_flight += 1;
        let target = grant::UpstreamAddress {
            upstream: name.clone(),
            address: candidate.address,
        };
        Ok(grant::Grant {
            id: request.id,
            upstreams: vec![target],
        })
    }

    /// Returns the index with the lower load, or `first` if both loads are equal.
    fn less_loaded(&self, first: usize, second: usize) -> usize {
        let load = |index: usize| {
            self.candidates
                .values()
                .nth(index)
                .map_or(0, |candidate| candidate.load())
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }

    /// Removes an ended request from the in-flight count of its upstream.
    pub fn release(&mut self, name: &name::UpstreamName) {
        if let Some(candidate) = self.candidates.get_mut(name) {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
    }
}

impl Candidate {
    fn load(&self) -> usize {
        self.reported_running.max(self.in_flight)
    }
}
