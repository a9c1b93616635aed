//! The status of the system's instances.

use std::time;

use limpetkeel::Revision;
use limpetkeeld::{front::health::InstanceStatus, platform};

use crate::error::{Error, Result};

/// The timeout of a status request. An instance that does not respond in time is reported as
/// unreachable.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The interval at which [`wait_until_in_force`] polls the instances.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// An instance and its status.
#[derive(Debug, serde::Serialize)]
pub struct ListedInstance {
    /// The name of the instance.
    pub name: String,
    /// The status that the instance reported; `None` if it is unreachable.
    pub status: Option<InstanceStatus>,
}

/// The revision of the tables and the status of every instance.
#[derive(Debug, serde::Serialize)]
pub struct SystemStatus {
    /// The revision of the tables in the platform's store.
    #[serde(flatten)]
    pub revision: Revision,
    /// The instances that the platform lists.
    pub instances: Vec<ListedInstance>,
}

/// Requests the status of an instance; returns `None` without a valid response in time.
async fn fetch_status(
    http: &reqwest::Client,
    entry: &platform::EntryAddress,
) -> Option<InstanceStatus> {
    let url = format!("http://{}/status", entry.address);
    http.get(url)
        .timeout(STATUS_TIMEOUT)
        .send()
        .await
        .ok()?
        .json()
        .await
        .ok()
}

/// Queries all instances that the platform lists, concurrently.
async fn query_instances(platform: &platform::Client) -> Result<Vec<ListedInstance>> {
    let http = reqwest::Client::new();
    let mut requests = Vec::new();
    for entry in platform.list().await?.entry_addresses {
        let http = http.clone();
        requests.push(tokio::spawn(async move {
            let status = fetch_status(&http, &entry).await;
            ListedInstance {
                name: entry.name.to_string(),
                status,
            }
        }));
    }
    let mut instances = Vec::with_capacity(requests.len());
    for request in requests {
        instances.extend(request.await.ok());
    }
    Ok(instances)
}

/// Reads the revision of the tables and queries every instance that the platform lists.
///
/// # Errors
///
/// Returns an error if the platform does not respond.
pub async fn status(platform: &platform::Client) -> Result<SystemStatus> {
    let (revision, _) = platform.tables().await?;
    Ok(SystemStatus {
        revision,
        instances: query_instances(platform).await?,
    })
}

/// Waits until every reachable instance has the revision in force. Prints the unreachable instances
/// to standard error.
///
/// # Errors
///
/// Returns an error if the platform does not respond, or if a reachable instance still has an
/// older revision when the timeout has passed.
pub async fn wait_until_in_force(
    platform: &platform::Client,
    revision: Revision,
    timeout: time::Duration,
) -> Result<()> {
    let deadline = time::Instant::now() + timeout;
    loop {
        let instances = query_instances(platform).await?;
        let outdated: Vec<String> = instances
            .iter()
            .filter(|instance| {
                instance
                    .status
                    .as_ref()
                    .is_some_and(|s| s.revision < revision)
            })
            .map(|instance| instance.name.clone())
            .collect();
        if outdated.is_empty() {
            for unreachable in instances
                .iter()
                .filter(|instance| instance.status.is_none())
            {
                eprintln!("unreachable: {}", unreachable.name);
            }
            return Ok(());
        }
        if time::Instant::now() >= deadline {
            return Err(Error::NotInForce(outdated));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
