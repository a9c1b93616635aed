//! Connects to upstreams for peers that have lost their own paths.

use std::sync;

use limpetkeel::{MemoryExhausted, MemoryShare, PlanProcesses, UpstreamAddress};

use crate::{
    peer::{message, tunnel},
    relay::{availability, exchange, shared, upstream},
};

/// Connects to an upstream for a peer. The tunnel counts as a request in progress until it ends.
///
/// # Errors
///
/// Returns the reason why this instance does not connect.
pub async fn connect(
    shared: &sync::Arc<shared::Shared>,
    req: message::TunnelRequest,
) -> Result<tunnel::Outlet, message::TunnelRefusal> {
    let connected = try_connect(shared, &req).await;
    let result = connected.as_ref().map_or_else(|e| e.code(), |_| "opened");
    let tunnels = &shared.metrics.relay.tunnels;
    tunnels.with_label_values(&["served", result]).inc();
    connected
}

async fn try_connect(
    shared: &sync::Arc<shared::Shared>,
    req: &message::TunnelRequest,
) -> Result<tunnel::Outlet, message::TunnelRefusal> {
    if shared.membership.lock().local_state.is_draining() {
        return Err(message::TunnelRefusal::Draining);
    }
    let name = &req.upstream.upstream;
    check_usable(shared, req)?;
    let known_peer = {
        let paths = shared.paths.lock();
        let unreachable = message::TunnelRefusal::Unreachable(paths.any_peer().cloned());
        if paths.is_severed(name) {
            return Err(unreachable);
        }
        unreachable
    };
    let exchange = exchange::ExchangeGuard::begin(
        shared,
        exchange::Exchange {
            request: format!("tunnel-to-{name}").into(),
            received: shared.clock.now(),
        },
    );
    let memory = shared
        .memory
        .try_reserve(MemoryShare::Tunnels, tunnel::TUNNEL_MEMORY_BYTES)
        .map_err(|MemoryExhausted| message::TunnelRefusal::NoMemory)?;
    let connecting = upstream::connect(shared.settings.source(), req.upstream.address);
    let stream = connecting.await.map_err(|_| known_peer)?;
    // The upstream may have said meanwhile that it accepts no requests.
    check_usable(shared, req)?;
    Ok(tunnel::Outlet {
        stream,
        guard: Box::new((exchange, memory)),
    })
}

/// Checks that the upstream is not known at another address and, for a request, that it accepts
/// requests from this instance.
fn check_usable(
    shared: &shared::Shared,
    req: &message::TunnelRequest,
) -> Result<(), message::TunnelRefusal> {
    let is_usable = match req.purpose {
        message::TunnelPurpose::Request => accepts_requests(shared, &req.upstream),
        message::TunnelPurpose::Order => is_known_at(shared, &req.upstream),
    };
    is_usable
        .then_some(())
        .ok_or(message::TunnelRefusal::Unavailable)
}

fn is_known_at(shared: &shared::Shared, upstream: &UpstreamAddress) -> bool {
    let tables = shared.tables.lock();
    let listed = tables.upstreams.get(&upstream.upstream);
    listed.is_none_or(|entry| entry.address == upstream.address)
}

fn accepts_requests(shared: &shared::Shared, upstream: &UpstreamAddress) -> bool {
    let is_current = {
        let tables = shared.tables.lock();
        let checked =
            PlanProcesses::default().check_single(&tables.upstreams, &tables.evacuations, upstream);
        checked.is_ok()
    };
    is_current && availability::is_available(shared, &upstream.upstream)
}
