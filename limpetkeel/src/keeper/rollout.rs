//! Version updates, one upstream of the pool at a time.

use crate::{grant, keeper, unit};

impl keeper::Keeper {
    /// Returns the upstream to order to the wanted version now, if one is ready.
    ///
    /// An upstream drains before it is ordered, so that no running request loses its version. The
    /// order states the wanted version and is repeated until the upstream reports it, since the
    /// order of an earlier lease holder may have arrived in between.
    pub fn next_version_order(
        &mut self,
        now: unit::Timestamp,
        wanted: &str,
    ) -> Option<grant::UpstreamAddress> {
        let outdated = |upstream: &&crate::upstream::Upstream| {
            upstream.has_recent_report(now) && upstream.version() != Some(wanted)
        };
        let chosen = self
            .upstreams
            .values()
            .filter(outdated)
            .max_by_key(|upstream| upstream.is_updating())
            .map(|upstream| upstream.name().clone());
        self.stop_updates_except(chosen.as_ref());
        let chosen = chosen?;
        let upstream = self.upstreams.get_mut(&chosen)?;
        upstream.set_updating(true);
        let ready = (upstream.load() == 0).then(|| upstream.address());
        self.reindex(&chosen);
        ready
    }

    /// Lets the upstream that drains for an update accept requests again.
    ///
    /// The caller uses this when it may no longer order versions.
    pub fn stop_version_orders(&mut self) {
        self.stop_updates_except(None);
    }

    /// Lets the upstreams that drain for an update, except the chosen one, accept requests again.
    fn stop_updates_except(&mut self, chosen: Option<&crate::name::UpstreamName>) {
        let others: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.is_updating() && Some(upstream.name()) != chosen)
            .map(|upstream| upstream.name().clone())
            .collect();
        for name in others {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.set_updating(false);
            }
            self.reindex(&name);
        }
    }
}
