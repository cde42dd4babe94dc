//! The contract of the plain service: it counts orders and records the raw bytes it receives.

mod common;

use buckthorncleat::id;
use stand_in::client;
use stand_in::connection;
use stand_in::fault;
use stand_in::plain;
use stand_in::process;
use tokio::time;

fn order(name: &str) -> hyper::Request<client::Body> {
    let mut req = client::post("/shop/orders", &"two cartons");
    req.headers_mut()
        .insert(plain::ORDER_HEADER, name.parse().unwrap());
    req
}

#[tokio::test]
async fn orders_are_counted_by_header_field_or_digest() {
    let logs = tempfile::tempdir().unwrap();
    let args = ["plain", "--id", "shop-1"];
    let (mut child, shop) = process::Child::start_stand_in("shop", &args, logs.path()).unwrap();
    #[derive(serde::Serialize)]
    struct Named<'a> {
        order: &'a str,
    }
    let lookup = || client::request(hyper::Method::GET, "/shop/stock?sku=7");
    let runs = [
        (order("a"), Some("a"), 1),
        (order("a"), Some("a"), 2),
        (order("b"), Some("b"), 1),
        (client::post("/any", &Named { order: "b" }), Some("b"), 2),
        (lookup(), None, 1),
        (lookup(), None, 2),
    ];
    for (req, name, runs) in runs {
        let ran: plain::Ran = client::ask(shop, req).await.unwrap().json().unwrap();
        assert_eq!(ran.runs, runs);
        assert_eq!(ran.server, "shop-1".parse::<id::BackendServerId>().unwrap());
        assert!(name.is_none_or(|name| ran.order == name), "{ran:?}");
    }
    let orders: plain::Orders = common::get(shop, "/_stand-in/orders").await;
    assert_eq!(orders.orders.iter().map(|o| o.runs).sum::<u64>(), 6);
    let heads: Vec<connection::Received> = common::get(shop, "/_stand-in/heads").await;
    let raw = heads.iter().filter(|h| h.text.contains("x-order: a\r\n"));
    assert_eq!(raw.count(), 2);
    assert_eq!(child.end().unwrap(), Some(0));
}

#[tokio::test]
async fn a_service_answers_again_after_a_stall_and_a_marked_call_crashes_it() {
    let logs = tempfile::tempdir().unwrap();
    let args = ["plain", "--id", "shop-1"];
    let (mut child, shop) = process::Child::start_stand_in("shop", &args, logs.path()).unwrap();
    let stall = |on| fault::Faults {
        stall: Some(on),
        ..fault::Faults::default()
    };
    common::post(shop, "/_stand-in/faults", &stall(true)).await;
    let max_wait = time::Duration::from_millis(200);
    assert!(
        time::timeout(max_wait, client::ask(shop, order("a")))
            .await
            .is_err()
    );
    common::post(shop, "/_stand-in/faults", &stall(false)).await;
    assert_eq!(client::ask(shop, order("b")).await.unwrap().status, 200);
    let crash = client::post("/any", &"[crash]");
    assert!(client::ask(shop, crash).await.is_err());
    assert_eq!(child.wait_end().unwrap(), Some(fault::CRASH_EXIT_CODE));
}
