//! Control and inspection of a running fleet.

use std::{collections, time};

use limpetkeeld::front::health::InstanceStatus;

use super::{Daemon, Error, Fleet, PLATFORM_PORT, Result, WAIT_TIMEOUT};
use crate::{fault, platform, relay};

impl Fleet {
    /// Adds or replaces an entry of the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or responds with an error.
    pub async fn register_instance(&self, name: &str, entry: &platform::Instance) -> Result<()> {
        let url = format!("{}/instances/{name}", self.platform_url());
        self.http
            .put(url)
            .json(entry)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Waits until every daemon responds and the instance list, which lags, contains every process.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon does not respond or the list stays incomplete.
    pub(super) async fn wait_for_daemons(&self) -> Result<()> {
        for daemon in &self.daemons {
            let url = format!("{}/healthz", daemon.url());
            self.wait_until("the daemon responds", async || {
                self.http.get(&url).send().await.is_ok()
            })
            .await?;
        }
        let url = format!("{}/instances", self.platform_url());
        let expected = self.daemons.len() + self.engines.len() + self.services.len();
        self.wait_until("the list is complete", async || {
            let entries: Result<collections::BTreeMap<String, platform::Instance>> =
                self.get_json(&url).await;
            entries.is_ok_and(|entries| entries.len() == expected)
        })
        .await
    }

    /// Waits until every running daemon is live and knows all upstreams and the running daemons of
    /// its zone.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon does not become ready.
    pub async fn wait_ready(&self) -> Result<()> {
        let running = self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some());
        let mut expected: collections::BTreeMap<u8, usize> = collections::BTreeMap::new();
        for daemon in running.clone() {
            *expected.entry(daemon.zone).or_default() += 1;
        }
        for daemon in running {
            let members = expected[&daemon.zone];
            let upstreams = self.engines.len() + self.services.len();
            self.wait_until("the daemon is ready", async || {
                let status = self.status(daemon).await;
                status.is_ok_and(|status| {
                    status.stage == "live"
                        && status.live_members.len() >= members
                        && status.known_upstreams >= upstreams
                })
            })
            .await?;
        }
        Ok(())
    }

    /// Reads the status of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond within 2 seconds.
    pub async fn status(&self, daemon: &Daemon) -> Result<InstanceStatus> {
        let url = format!("{}/status", daemon.url());
        let req = self.http.get(url).timeout(time::Duration::from_secs(2));
        Ok(req.send().await?.json().await?)
    }

    /// Polls a condition until it is met, for at most [`WAIT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met in time.
    pub async fn wait_until(
        &self,
        condition: &'static str,
        mut is_met: impl AsyncFnMut() -> bool,
    ) -> Result<()> {
        let deadline = time::Instant::now() + WAIT_TIMEOUT;
        while time::Instant::now() < deadline {
            if is_met().await {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        Err(Error::TimedOut(condition))
    }

    /// Cuts the links between the given pairs of zones and restores all others.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay does not respond or responds with an error.
    pub async fn set_cuts(&self, cuts: &[relay::ZoneCut]) -> Result<()> {
        let control = self.range.address(251, 1, PLATFORM_PORT);
        let url = format!("http://{control}/cuts");
        self.http
            .put(url)
            .json(cuts)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Sets the fault of the platform's store, or clears it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or responds with an error.
    pub async fn set_store_fault(&self, fault: Option<fault::Fault>) -> Result<()> {
        self.set_fault(&format!("{}/fault", self.platform_url()), fault)
            .await
    }

    /// Sets the fault at a control URL of a stand-in, or clears it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond or responds with an error.
    pub async fn set_fault(&self, url: &str, fault: Option<fault::Fault>) -> Result<()> {
        self.http
            .put(url)
            .json(&fault)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Sends a GET request and returns the body as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond.
    pub async fn get_text(&self, url: &str) -> Result<String> {
        Ok(self.http.get(url).send().await?.text().await?)
    }

    /// Sends a GET request and decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond or the body cannot be decoded.
    pub async fn get_json<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T> {
        Ok(self.http.get(url).send().await?.json().await?)
    }
}
