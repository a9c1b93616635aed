//! Fleets that run side by side.

use std::{net, sync, thread, time};

use standins::fleet::{self, Fleet};

/// Waits until the addresses of a fleet are free, and tells whether its platform has ended by then.
fn ended_when_free(claim: net::SocketAddr, platform: net::SocketAddr) -> bool {
    while net::TcpListener::bind(claim).is_err() {
        thread::sleep(time::Duration::from_micros(100));
    }
    net::TcpStream::connect(platform).is_err()
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_are_free_only_when_all_processes_have_ended() {
    fleet::build().expect("programs");
    let config = fleet::Config {
        zones: 1,
        daemons_per_zone: 2,
        engines_per_zone: 2,
        ..fleet::Config::default()
    };
    let fleet = Fleet::start(config).await.expect("fleet");
    let (claim, platform) = (fleet.claim(), fleet.platform_address());
    let watching = sync::Barrier::new(2);
    let ended = thread::scope(|scope| {
        let watch = scope.spawn(|| {
            watching.wait();
            ended_when_free(claim, platform)
        });
        watching.wait();
        drop(fleet);
        watch.join().expect("watch")
    });
    assert!(
        ended,
        "another fleet could take the addresses of one that still runs"
    );
}
