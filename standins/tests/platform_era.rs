//! Tests of the daemon's platform client while the key-value store is restored from a backup.

use std::{net, time};

use limpetkeel::Revision;
use limpetkeeld::platform::{Client, Error};
use standins::{http_server, platform};

const KEY: &str = "limpetkeel/tables";

/// The time limit for a watch to notice a restore, once another call has been answered.
const NOTICE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Starts a platform and returns its URL.
async fn start_platform() -> String {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let router = platform::router(platform::Settings::default());
    tokio::spawn(http_server::serve(address, router));
    while tokio::net::TcpStream::connect(address).await.is_err() {
        tokio::task::yield_now().await;
    }
    format!("http://{address}")
}

fn client(url: &str) -> Client {
    Client::new(url, net::Ipv4Addr::LOCALHOST.into()).expect("client")
}

async fn put(url: &str, path: &str) {
    let sent = reqwest::Client::new().put(format!("{url}/{path}")).send();
    assert!(sent.await.expect("sent").status().is_success());
}

/// Writes values one after the other and returns the last revision.
async fn write_all(client: &Client, mut expected: Revision, values: &[&str]) -> Revision {
    for value in values {
        expected = client.write(KEY, expected, value).await.expect("written");
    }
    expected
}

#[tokio::test]
async fn a_watch_returns_the_older_copy_though_nobody_writes_it() {
    let url = start_platform().await;
    let client = client(&url);
    let copied = write_all(&client, Revision::default(), &["a"]).await;
    put(&url, "copy").await;
    let lost = write_all(&client, copied, &["b", "c"]).await;
    let watch = client.watch(KEY, lost);
    let restore = async {
        put(&url, "restore").await;
        client.list().await.expect("list");
    };
    let watched = tokio::time::timeout(NOTICE_LIMIT, async { tokio::join!(watch, restore).0 });
    let entry = watched.await.expect("noticed").expect("entry");
    assert_eq!(entry.value.as_deref(), Some("a"));
    assert!(entry.revision > lost, "{} and {lost}", entry.revision);
    assert_eq!(entry.revision.number(), copied.number());
}

#[tokio::test]
async fn a_write_does_not_replace_a_value_of_another_era_at_the_same_number() {
    let url = start_platform().await;
    let client = client(&url);
    let copied = write_all(&client, Revision::default(), &["a"]).await;
    put(&url, "copy").await;
    let lost = write_all(&client, copied, &["b"]).await;
    put(&url, "restore").await;
    let restored = client.read(KEY).await.expect("read").revision;
    let current = write_all(&client, restored, &["c"]).await;
    assert_eq!(current.number(), lost.number());
    let written = client.write(KEY, lost, "d").await;
    assert!(matches!(written, Err(Error::Conflict(_))), "{written:?}");
    let entry = client.read(KEY).await.expect("read");
    assert_eq!(entry.value.as_deref(), Some("c"));
}
