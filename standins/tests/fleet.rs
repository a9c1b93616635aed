//! Concurrent fleets: a fleet must not release its address range while a process still uses it,
//! since another fleet could then reserve the range.

use std::{net, sync, thread, time};

use standins::fleet::{self, Fleet};

/// Waits until the address range of a fleet is free and returns `true` if its platform has exited
/// by then.
fn exited_when_address_is_free(
    guard_address: net::SocketAddr,
    platform_address: net::SocketAddr,
) -> bool {
    while net::TcpListener::bind(guard_address).is_err() {
        thread::sleep(time::Duration::from_micros(100));
    }
    net::TcpStream::connect(platform_address).is_err()
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_are_released_after_all_processes_exit() {
    fleet::build_programs().expect("programs are built");
    let config = fleet::Config {
        zones: 1,
        daemons_per_zone: 2,
        engines_per_zone: 2,
        ..fleet::Config::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let (guard_address, platform_address) = (fleet.guard_address(), fleet.platform_address());
    let start_barrier = sync::Barrier::new(2);
    let exited = thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            start_barrier.wait();
            exited_when_address_is_free(guard_address, platform_address)
        });
        start_barrier.wait();
        drop(fleet);
        watcher.join().expect("the watcher thread finishes")
    });
    assert!(
        exited,
        "the address range was released while the platform was still running"
    );
}
