//! The HTTP client for the platform: its key-value store, leases and instance list.

use std::{collections, fmt, net, sync, time};

use limpetkeel::{
    AvailabilityZoneName, Contact, Declarations, Era, FencingNumber, InstanceName, ListedMember,
    Millicores, Millis, PoolName, Revision, UpstreamListEntry, UpstreamName,
};

use crate::latest_era::LatestEra;

/// The header with the era of the store.
const ERA_HEADER: &str = "kv-era";

/// The key of the tables in the store.
const TABLES_KEY: &str = "limpetkeel/tables";

/// The timeout of a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The time after which the platform responds to a watch even without a change.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// An error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call did not reach the platform or was refused, so it had no effect.
    Refused,
    /// The response was lost, so a write may have taken effect.
    ResponseLost,
    /// The revision differs from the expected one; contains the current revision.
    Conflict(Revision),
    /// The response does not have the expected form.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused => f.write_str("the platform refused the call"),
            Error::ResponseLost => f.write_str("the platform did not answer"),
            Error::Conflict(current) => write!(f, "the current version is {current}"),
            Error::Malformed => f.write_str("the platform's answer is malformed"),
        }
    }
}

impl std::error::Error for Error {}

/// Alias for a `Result` with the platform's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A value in the store, with its revision.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The number of writes to the key in the era of the store; zero if the key does not exist.
    pub revision: Revision,
    /// The value, if the key exists.
    pub value: Option<String>,
}

#[derive(serde::Deserialize)]
struct EntryBody {
    version: u64,
    value: Option<String>,
}

#[derive(serde::Serialize)]
struct AcquireBody<'a> {
    holder: &'a str,
    ttl_ms: u64,
}

#[derive(serde::Deserialize)]
struct LeaseBody {
    fencing: FencingNumber,
}

#[derive(serde::Deserialize)]
struct VersionBody {
    version: u64,
}

#[derive(serde::Serialize)]
struct WriteBody<'a> {
    expect: u64,
    value: &'a str,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum Role {
    Entry,
    Upstream(String),
}

#[derive(serde::Deserialize)]
struct ListLine {
    role: Role,
    availability_zone: String,
    address: net::SocketAddr,
    #[serde(default)]
    http_address: Option<net::SocketAddr>,
    #[serde(default)]
    leaving: bool,
}

/// The platform's list of instances, split by role.
#[derive(Debug, Default)]
pub struct InstanceList {
    /// The entry instances.
    pub instances: Vec<ListedMember>,
    /// The upstreams, which serve pools.
    pub upstreams: Vec<UpstreamListEntry>,
    /// The addresses at which the entry instances accept callers' requests.
    pub entry_addresses: Vec<EntryAddress>,
}

/// The address at which an entry instance accepts callers' requests.
#[derive(Clone, Debug)]
pub struct EntryAddress {
    /// The name of the instance.
    pub name: InstanceName,
    /// The address.
    pub address: net::SocketAddr,
}

/// An HTTP client for the platform.
#[derive(Clone, Debug)]
pub struct Client {
    url: String,
    http: reqwest::Client,
    era: sync::Arc<LatestEra>,
}

impl Client {
    /// Creates a client for the platform at `url` that connects from `source`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(url: &str, source: net::IpAddr) -> reqwest::Result<Client> {
        let http = reqwest::Client::builder()
            .local_address(source)
            .tcp_nodelay(true)
            .build()?;
        Ok(Client {
            url: url.to_owned(),
            http,
            era: sync::Arc::default(),
        })
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn read(&self, key: &str) -> Result<Entry> {
        let req = self
            .http
            .get(format!("{}/kv/{key}", self.url))
            .timeout(CALL_TIMEOUT);
        self.fetch_entry(req).await
    }

    async fn fetch_entry(&self, req: reqwest::RequestBuilder) -> Result<Entry> {
        let (res, era) = self.send(req).await?;
        let body: EntryBody = parse_body(res).await?;
        Ok(Entry {
            revision: Revision::new(era, body.version),
            value: body.value,
        })
    }

    /// Sends a request and returns the response and its era if its status is a success.
    async fn send(&self, req: reqwest::RequestBuilder) -> Result<(reqwest::Response, Era)> {
        let res = req.send().await.map_err(|e| transport_error(&e))?;
        let era = self.observe_era(&res);
        if res.status().is_success() {
            Ok((res, era))
        } else {
            Err(Error::Refused)
        }
    }

    fn observe_era(&self, res: &reqwest::Response) -> Era {
        let header = res.headers().get(ERA_HEADER);
        self.era
            .observe(header.and_then(|value| value.to_str().ok()))
    }

    /// Waits until the revision of a key exceeds `after`, and returns the value.
    ///
    /// Returns the unchanged value if the platform's time limit for a watch passes first. Reads the
    /// value if any response reports that the store is in a later era, in which the key may have an
    /// older revision for as long as nobody writes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn watch(&self, key: &str, after: Revision) -> Result<Entry> {
        let (number, wait) = (after.number(), WATCH_TIMEOUT.as_millis());
        let url = format!("{}/kv/{key}?after={number}&wait_ms={wait}", self.url);
        let req = self.http.get(url).timeout(WATCH_TIMEOUT + CALL_TIMEOUT);
        tokio::select! {
            entry = self.fetch_entry(req) => entry,
            () = self.era.wait_until_later(after.era()) => self.read(key).await,
        }
    }

    /// Writes a value if its revision is still the expected one, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if another write came first or the store is in a later era. After
    /// [`Error::ResponseLost`], the write may have taken effect.
    pub async fn write(&self, key: &str, expect: Revision, value: &str) -> Result<Revision> {
        let latest = self.era.get();
        if expect.era() < latest && expect.number() > 0 {
            return Err(Error::Conflict(Revision::new(latest, 0)));
        }
        let url = format!("{}/kv/{key}", self.url);
        let req = self
            .http
            .put(url)
            .json(&WriteBody {
                expect: expect.number(),
                value,
            })
            .timeout(CALL_TIMEOUT);
        let res = req.send().await.map_err(|e| transport_error(&e))?;
        let era = self.observe_era(&res);
        match res.status() {
            // The expected number was that of another value.
            status if status.is_success() && expect.number() > 0 && expect.era() != era => {
                Err(Error::ResponseLost)
            }
            status if status.is_success() => {
                let body: VersionBody = parse_body(res).await?;
                Ok(Revision::new(era, body.version))
            }
            reqwest::StatusCode::CONFLICT => {
                let body: VersionBody = parse_body(res).await?;
                Err(Error::Conflict(Revision::new(era, body.version)))
            }
            _ => Err(Error::Refused),
        }
    }

    /// Reads the declarations of the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or the value does not decode.
    pub async fn tables(&self) -> Result<(Revision, Declarations)> {
        decode_tables(self.read(TABLES_KEY).await?)
    }

    /// Waits until the tables are newer than `after`, and returns them.
    ///
    /// Returns the unchanged tables if the platform's time limit for a watch passes first.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or the value does not decode.
    pub async fn watch_tables(&self, after: Revision) -> Result<(Revision, Declarations)> {
        decode_tables(self.watch(TABLES_KEY, after).await?)
    }

    /// Replaces the tables if their revision is still the expected one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if another change came first. If the response to the write is
    /// lost, the tables are read back to determine the result; the error is [`Error::ResponseLost`]
    /// only if that read fails too.
    pub async fn write_tables(
        &self,
        expect: Revision,
        declarations: &Declarations,
    ) -> Result<Revision> {
        let value = serde_json::to_string(declarations).map_err(|_| Error::Malformed)?;
        match self.write(TABLES_KEY, expect, &value).await {
            Err(Error::ResponseLost) => {
                let (current, stored) = self.tables().await.map_err(|_| Error::ResponseLost)?;
                let next = Revision::new(expect.era(), expect.number() + 1);
                let took_effect = current == next && stored == *declarations;
                if took_effect {
                    Ok(current)
                } else {
                    Err(Error::Conflict(current))
                }
            }
            written => written,
        }
    }

    /// Acquires or renews a lease. Returns `None` if it has another holder.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn acquire_lease(
        &self,
        name: &str,
        holder: &str,
        lifetime: Millis,
    ) -> Result<Option<FencingNumber>> {
        let body = AcquireBody {
            holder,
            ttl_ms: lifetime.0,
        };
        let req = self
            .http
            .post(format!("{}/leases/{name}", self.url))
            .json(&body);
        let res = req
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .map_err(|e| transport_error(&e))?;
        self.observe_era(&res);
        match res.status() {
            status if status.is_success() => Ok(Some(parse_body::<LeaseBody>(res).await?.fencing)),
            reqwest::StatusCode::CONFLICT => Ok(None),
            _ => Err(Error::Refused),
        }
    }

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond. Entries with invalid names are skipped.
    pub async fn list(&self) -> Result<InstanceList> {
        let req = self
            .http
            .get(format!("{}/instances", self.url))
            .timeout(CALL_TIMEOUT);
        let lines: collections::BTreeMap<String, ListLine> =
            parse_body(self.send(req).await?.0).await?;
        let mut list = InstanceList::default();
        for (name, line) in lines {
            let _ = list.add(&name, line);
        }
        Ok(list)
    }
}

impl InstanceList {
    fn add(&mut self, name: &str, line: ListLine) -> limpetkeel::Result<()> {
        let availability_zone = AvailabilityZoneName::try_from(line.availability_zone)?;
        match line.role {
            Role::Entry => {
                let name = InstanceName::try_from(name)?;
                let address = line.http_address.filter(|_| !line.leaving);
                self.entry_addresses
                    .extend(address.map(|address| EntryAddress {
                        name: name.clone(),
                        address,
                    }));
                let contact = Contact {
                    name,
                    availability_zone,
                    address: line.address,
                    processor: Millicores::ZERO,
                };
                self.instances.push(ListedMember {
                    contact,
                    draining: line.leaving,
                });
            }
            Role::Upstream(pool) => self.upstreams.push(UpstreamListEntry {
                name: UpstreamName::try_from(name)?,
                pool: PoolName::try_from(pool)?,
                availability_zone,
                address: line.address,
                draining: line.leaving,
            }),
        }
        Ok(())
    }
}

fn decode_tables(entry: Entry) -> Result<(Revision, Declarations)> {
    let Some(value) = entry.value else {
        return Ok(Default::default());
    };
    let declarations = serde_json::from_str(&value).map_err(|_| Error::Malformed)?;
    Ok((entry.revision, declarations))
}

fn transport_error(error: &reqwest::Error) -> Error {
    if error.is_connect() {
        Error::Refused
    } else {
        Error::ResponseLost
    }
}

async fn parse_body<T: serde::de::DeserializeOwned>(res: reqwest::Response) -> Result<T> {
    let body = res.bytes().await.map_err(|_| Error::ResponseLost)?;
    serde_json::from_slice(&body).map_err(|_| Error::Malformed)
}
