//! The platform stand-in: key-value store, leases, instance list and weight store.
//!
//! | request | effect or response |
//! |---|---|
//! | `GET /kv/{key}?after=N&wait_ms=N` | the value, once its version exceeds `after` or `wait_ms` has passed |
//! | `PUT /kv/{key}` `{expect, value}` | writes the value; the new version, or 409 with the current one |
//! | `POST /leases/{name}` `{holder, ttl_ms}` | acquires or renews a lease; the current holder and its fencing number, with 409 if another holder has it |
//! | `DELETE /leases/{name}/{holder}` | releases the lease |
//! | `GET /instances` | the instance list, delayed by the list lag |
//! | `PUT`, `DELETE /instances/{name}` | adds, replaces or removes an entry of the instance list |
//! | `POST /weights` `{bytes}` | reads from the weight store; 204, or 429 above the rate limit |
//! | `PUT /copy`, `PUT /restore` | copies the key-value store; goes back to the copy. Responses of the store and the instance list have the number of times as `kv-era` |
//! | `GET /calls` | the number of calls, by kind |
//! | `PUT /fault`, `PUT /list-fault` | inject a fault into the key-value store and the acquisition of leases, or into the instance list |

mod lease;
mod list;
mod rate;
mod store;

use std::{sync, time};

use salvo::http;

use crate::{fault, http_server};

pub use list::{Instance, Role};

/// Settings of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The delay of the instance list.
    pub list_lag: time::Duration,
    /// The maximum number of writes per second, including calls that acquire leases.
    pub writes_per_second: u32,
    /// The maximum number of reads per second. A watch counts once, however long it waits.
    pub reads_per_second: u32,
    /// The throughput of the weight store, in bytes per second.
    pub weight_bytes_per_second: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            list_lag: time::Duration::from_secs(2),
            writes_per_second: 400,
            reads_per_second: 2_000,
            weight_bytes_per_second: 1_000_000_000,
        }
    }
}

/// The number of calls, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallCounts {
    /// Reads of a key, other than watches.
    pub reads: u64,
    /// Watches: reads with the parameter `after`, which wait for a change.
    pub watches: u64,
    /// Compare-and-swap writes.
    pub writes: u64,
    /// Calls that acquire or renew a lease.
    pub leases: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Calls refused because of a rate limit.
    pub refused: u64,
}

/// The state that the request handlers of the platform share.
struct Platform {
    store: store::Store,
    leases: lease::Leases,
    instances: list::InstanceList,
    write_limit: rate::RateLimiter,
    read_limit: rate::RateLimiter,
    weight_limit: rate::RateLimiter,
    calls: parking_lot::Mutex<CallCounts>,
    store_faults: fault::FaultInjector,
    list_faults: fault::FaultInjector,
}

/// Builds the router of a platform.
pub fn router(settings: Settings) -> salvo::Router {
    let platform = sync::Arc::new(Platform {
        store: store::Store::default(),
        leases: lease::Leases::default(),
        instances: list::InstanceList::new(settings.list_lag),
        write_limit: rate::RateLimiter::new(settings.writes_per_second),
        read_limit: rate::RateLimiter::new(settings.reads_per_second),
        weight_limit: rate::RateLimiter::new(settings.weight_bytes_per_second),
        calls: parking_lot::Mutex::default(),
        store_faults: fault::FaultInjector::default(),
        list_faults: fault::FaultInjector::default(),
    });
    let path = |path: &str| salvo::Router::with_path(path);
    salvo::Router::new()
        .push(
            path("kv/{**key}")
                .get(ReadValue(platform.clone()))
                .put(WriteValue(platform.clone())),
        )
        .push(path("leases/{name}").post(AcquireLease(platform.clone())))
        .push(path("leases/{name}/{holder}").delete(ReleaseLease(platform.clone())))
        .push(path("instances").get(ReadInstances(platform.clone())))
        .push(
            path("instances/{name}")
                .put(PutInstance(platform.clone()))
                .delete(DeleteInstance(platform.clone())),
        )
        .push(path("weights").post(ReadWeights(platform.clone())))
        .push(path("copy").put(CopyStore(platform.clone())))
        .push(path("restore").put(RestoreStore(platform.clone())))
        .push(path("calls").get(ReadCalls(platform.clone())))
        .push(path("fault").put(SetStoreFault(platform.clone())))
        .push(path("list-fault").put(SetListFault(platform)))
}

impl Platform {
    /// Adds the era of the store to a response.
    fn add_era(&self, res: &mut salvo::Response) {
        let era = http::HeaderValue::from(self.store.era());
        res.headers_mut().insert("kv-era", era);
    }

    /// Returns `true` if the rate limit admits a call. If not, counts the refusal and sets status
    /// 429.
    fn admit(&self, limiter: &rate::RateLimiter, res: &mut salvo::Response) -> bool {
        if limiter.try_acquire(1) {
            return true;
        }
        self.calls.lock().refused += 1;
        res.status_code(http::StatusCode::TOO_MANY_REQUESTS);
        false
    }
}

struct ReadValue(sync::Arc<Platform>);

#[salvo::handler]
impl ReadValue {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let platform = &self.0;
        let key: String = req.param("key").unwrap_or_default();
        let after: Option<u64> = req.query("after");
        let wait = time::Duration::from_millis(req.query("wait_ms").unwrap_or(0));
        {
            let mut calls = platform.calls.lock();
            if after.is_some() {
                calls.watches += 1;
            } else {
                calls.reads += 1;
            }
        }
        if !platform.admit(&platform.read_limit, res) {
            return;
        }
        let deferred_fault = match platform.store_faults.apply_before_work().await {
            Ok(fault) => fault,
            Err(status) => return http_server::send_status(res, status),
        };
        let entry = platform.store.read(&key, after.unwrap_or(0), wait).await;
        platform.add_era(res);
        if deferred_fault.is_some() {
            return fault::drop_response(res);
        }
        http_server::send_json(res, http::StatusCode::OK, &entry);
    }
}

#[derive(serde::Deserialize)]
struct WriteBody {
    expect: u64,
    value: String,
}

struct WriteValue(sync::Arc<Platform>);

#[salvo::handler]
impl WriteValue {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let platform = &self.0;
        let key: String = req.param("key").unwrap_or_default();
        platform.calls.lock().writes += 1;
        if !platform.admit(&platform.write_limit, res) {
            return;
        }
        let Some(body) = http_server::read_json::<WriteBody>(req, res).await else {
            return;
        };
        let deferred_fault = match platform.store_faults.apply_before_work().await {
            Ok(fault) => fault,
            Err(status) => return http_server::send_status(res, status),
        };
        let result = platform.store.write(&key, body.expect, body.value);
        platform.add_era(res);
        if deferred_fault.is_some() {
            return fault::drop_response(res);
        }
        match result {
            Ok(version) => {
                http_server::send_json(res, http::StatusCode::OK, &store::Version { version })
            }
            Err(store::WriteError::Conflict(version)) => {
                http_server::send_json(
                    res,
                    http::StatusCode::CONFLICT,
                    &store::Version { version },
                );
            }
            Err(store::WriteError::TooLarge) => {
                res.status_code(http::StatusCode::PAYLOAD_TOO_LARGE);
            }
        }
    }
}

#[derive(serde::Deserialize)]
struct AcquireBody {
    holder: String,
    ttl_ms: u64,
}

struct AcquireLease(sync::Arc<Platform>);

#[salvo::handler]
impl AcquireLease {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let platform = &self.0;
        let name: String = req.param("name").unwrap_or_default();
        platform.calls.lock().leases += 1;
        if !platform.admit(&platform.write_limit, res) {
            return;
        }
        let Some(body) = http_server::read_json::<AcquireBody>(req, res).await else {
            return;
        };
        let deferred_fault = match platform.store_faults.apply_before_work().await {
            Ok(fault) => fault,
            Err(status) => return http_server::send_status(res, status),
        };
        let ttl = time::Duration::from_millis(body.ttl_ms);
        let lease_holder = platform.leases.acquire(&name, &body.holder, ttl);
        if deferred_fault.is_some() {
            return fault::drop_response(res);
        }
        let acquired = lease_holder.holder == body.holder;
        let status = if acquired {
            http::StatusCode::OK
        } else {
            http::StatusCode::CONFLICT
        };
        http_server::send_json(res, status, &lease_holder);
    }
}

struct ReleaseLease(sync::Arc<Platform>);

#[salvo::handler]
impl ReleaseLease {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let name: String = req.param("name").unwrap_or_default();
        let holder: String = req.param("holder").unwrap_or_default();
        self.0.leases.release(&name, &holder);
        res.status_code(http::StatusCode::NO_CONTENT);
    }
}

struct ReadInstances(sync::Arc<Platform>);

#[salvo::handler]
impl ReadInstances {
    async fn handle(&self, res: &mut salvo::Response) {
        let platform = &self.0;
        platform.calls.lock().lists += 1;
        if !platform.admit(&platform.read_limit, res) {
            return;
        }
        platform.add_era(res);
        match platform.list_faults.apply_before_work().await {
            Ok(None) => {
                http_server::send_json(res, http::StatusCode::OK, &platform.instances.read())
            }
            Ok(Some(_)) => fault::drop_response(res),
            Err(status) => http_server::send_status(res, status),
        }
    }
}

struct PutInstance(sync::Arc<Platform>);

#[salvo::handler]
impl PutInstance {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let name: String = req.param("name").unwrap_or_default();
        if let Some(instance) = http_server::read_json::<Instance>(req, res).await {
            self.0.instances.put(name, instance);
            res.status_code(http::StatusCode::NO_CONTENT);
        }
    }
}

struct DeleteInstance(sync::Arc<Platform>);

#[salvo::handler]
impl DeleteInstance {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let name: String = req.param("name").unwrap_or_default();
        self.0.instances.delete(&name);
        res.status_code(http::StatusCode::NO_CONTENT);
    }
}

#[derive(serde::Deserialize)]
struct WeightsBody {
    bytes: u32,
}

struct ReadWeights(sync::Arc<Platform>);

#[salvo::handler]
impl ReadWeights {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let Some(body) = http_server::read_json::<WeightsBody>(req, res).await else {
            return;
        };
        let admitted = self.0.weight_limit.try_acquire(body.bytes);
        let status = if admitted {
            http::StatusCode::NO_CONTENT
        } else {
            http::StatusCode::TOO_MANY_REQUESTS
        };
        res.status_code(status);
    }
}

struct CopyStore(sync::Arc<Platform>);

#[salvo::handler]
impl CopyStore {
    async fn handle(&self, res: &mut salvo::Response) {
        self.0.store.copy();
        res.status_code(http::StatusCode::NO_CONTENT);
    }
}

struct RestoreStore(sync::Arc<Platform>);

#[salvo::handler]
impl RestoreStore {
    async fn handle(&self, res: &mut salvo::Response) {
        self.0.store.restore();
        res.status_code(http::StatusCode::NO_CONTENT);
    }
}

struct ReadCalls(sync::Arc<Platform>);

#[salvo::handler]
impl ReadCalls {
    async fn handle(&self, res: &mut salvo::Response) {
        let calls = *self.0.calls.lock();
        http_server::send_json(res, http::StatusCode::OK, &calls);
    }
}

struct SetStoreFault(sync::Arc<Platform>);

#[salvo::handler]
impl SetStoreFault {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        self.0.store_faults.handle_put(req, res).await;
    }
}

struct SetListFault(sync::Arc<Platform>);

#[salvo::handler]
impl SetListFault {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        self.0.list_faults.handle_put(req, res).await;
    }
}
