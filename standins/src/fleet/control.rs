//! What a running fleet is told and asked.

use std::{collections, time};

use limpetkeeld::front::health::InstanceStatus;

use super::{Daemon, Error, Fleet, PATIENCE, PLATFORM_PORT, Result};
use crate::{fault, platform, relay};

impl Fleet {
    /// Adds or changes a line of the platform's list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn list(&self, name: &str, line: &platform::Instance) -> Result<()> {
        let url = format!("{}/instances/{name}", self.platform_url());
        self.http
            .put(url)
            .json(line)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Waits until every daemon answers and the list, which lags, shows every process.
    ///
    /// # Errors
    ///
    /// Fails if one does not answer, or the list stays incomplete.
    pub(super) async fn wait_for_daemons(&self) -> Result<()> {
        for daemon in &self.daemons {
            let url = format!("{}/healthz", daemon.url());
            self.wait_until("daemon answers", async || {
                self.http.get(&url).send().await.is_ok()
            })
            .await?;
        }
        let url = format!("{}/instances", self.platform_url());
        let expected = self.daemons.len() + self.engines.len() + self.services.len();
        self.wait_until("the list is complete", async || {
            let lines: Result<collections::BTreeMap<String, platform::Instance>> =
                self.get(&url).await;
            lines.is_ok_and(|lines| lines.len() == expected)
        })
        .await
    }

    /// Waits until every running daemon is ready and sees the live members of its zone.
    ///
    /// # Errors
    ///
    /// Fails if one does not become ready.
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
            self.wait_until("daemon is ready", async || {
                let status = self.status(daemon).await;
                status.is_ok_and(|s| {
                    s.stage == "live"
                        && s.live_members.len() >= members
                        && s.known_upstreams >= upstreams
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
    /// Fails if the daemon does not answer.
    pub async fn status(&self, daemon: &Daemon) -> Result<InstanceStatus> {
        let url = format!("{}/status", daemon.url());
        let req = self.http.get(url).timeout(time::Duration::from_secs(2));
        Ok(req.send().await?.json().await?)
    }

    /// Waits for a condition with generous patience.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not come true.
    pub async fn wait_until(
        &self,
        condition: &'static str,
        mut holds: impl AsyncFnMut() -> bool,
    ) -> Result<()> {
        let deadline = time::Instant::now() + PATIENCE;
        while time::Instant::now() < deadline {
            if holds().await {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        Err(Error::TimedOut(condition))
    }

    /// Cuts the links between the given pairs of zones, and heals all others.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn cut(&self, cuts: &[relay::Cut]) -> Result<()> {
        let control = self.range.at(251, 1, PLATFORM_PORT);
        let url = format!("http://{control}/cuts");
        self.http
            .put(url)
            .json(cuts)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Sets the fault of the platform's store.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn store_fault(&self, fault: Option<fault::Fault>) -> Result<()> {
        self.set_fault(&format!("{}/fault", self.platform_url()), fault)
            .await
    }

    /// Sets a fault at a URL.
    ///
    /// # Errors
    ///
    /// Fails if the process does not answer.
    pub async fn set_fault(&self, url: &str, fault: Option<fault::Fault>) -> Result<()> {
        self.http
            .put(url)
            .json(&fault)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Reads text from a process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not answer.
    pub async fn text(&self, url: &str) -> Result<String> {
        Ok(self.http.get(url).send().await?.text().await?)
    }

    /// Reads a JSON value from a process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not answer.
    pub async fn get<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T> {
        Ok(self.http.get(url).send().await?.json().await?)
    }
}
