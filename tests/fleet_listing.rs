//! Tests of server lists that are sent as changes.

use buckthorncleat::fleet::listing::{History, List};
use buckthorncleat::fleet::message::{Server, ServerState, Stage};
use rand::{Rng as _, SeedableRng as _};

fn server(number: u32) -> Server {
    Server {
        id: format!("i-{number:08x}").parse().unwrap(),
        service: "model".parse().unwrap(),
        address: ([10, 1, (number >> 8) as u8, number as u8], 8080).into(),
        data_centre: "klang-a".parse().unwrap(),
        slots: 32,
        state: ServerState::Ready,
        stage: Some(Stage::Decode),
        version: None,
        started_at: None,
    }
}

fn list(numbers: impl Iterator<Item = u32>) -> List {
    List::new(numbers.map(server).collect()).unwrap()
}

/// One server of 3,000 leaves: 300 gateways get some bytes each and not the whole list.
#[test]
fn a_leaving_server_costs_no_whole_list() {
    let mut history = History::default();
    let known = list(0..3_000);
    history.set(known.clone());
    let whole = history.update_for(None).unwrap().unwrap();
    let mut servers = known.servers().to_vec();
    servers[70].state = ServerState::Leaving;
    history.set(List::new(servers.clone()).unwrap());
    let update = history.update_for(Some(known.digest())).unwrap().unwrap();
    assert!(update.content_len() < 200, "{}", update.content_len());
    assert!(whole.content_len() > 50 * update.content_len());
    let list = List::from_update(Some(&known), &update).unwrap();
    assert_eq!(list.servers(), servers);
}

/// A leader is lost: the next one has read the same list, so that nobody gets it again.
#[test]
fn a_list_keeps_its_name_under_another_leader() {
    let mut next = History::default();
    next.set(list((0..100).rev()));
    let known = list(0..100).digest();
    assert_eq!(next.update_for(Some(known)).unwrap(), None);
}

#[test]
fn an_update_for_another_list_is_refused() {
    let mut history = History::default();
    let first = list(0..10);
    history.set(first.clone());
    history.set(list(0..11));
    let update = history.update_for(Some(first.digest())).unwrap().unwrap();
    assert!(List::from_update(Some(&list(0..9)), &update).is_err());
    assert!(List::from_update(None, &update).is_err());
}

/// Updates are lost, doubled or late: a gateway never has a list that the leader never had, and has
/// the newest one after one more report.
#[test]
fn gateways_follow_random_lists_over_lossy_links() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut history = History::default();
    let mut had = Vec::new();
    let mut gateways: Vec<Option<List>> = vec![None; 20];
    let mut late = Vec::new();
    for _ in 0..300 {
        let newest = list((0..60).filter(|_| rng.random_bool(0.7)));
        had.push(newest.digest());
        history.set(newest);
        for gateway in &mut gateways {
            let known = gateway.as_ref().map(List::digest);
            let Some(update) = history.update_for(known).unwrap() else {
                continue;
            };
            if rng.random_bool(0.3) {
                late.push(update.clone());
            }
            let arrived = match rng.random_range(0..10) {
                0..6 => update,
                6 if !late.is_empty() => late[rng.random_range(0..late.len())].clone(),
                _ => continue,
            };
            if let Ok(list) = List::from_update(gateway.as_ref(), &arrived) {
                assert!(had.contains(&list.digest()));
                *gateway = Some(list);
            }
        }
    }
    for gateway in gateways {
        let known = gateway.as_ref().map(List::digest);
        if let Some(update) = history.update_for(known).unwrap() {
            let list = List::from_update(gateway.as_ref(), &update).unwrap();
            assert_eq!(Some(&list), history.newest());
        }
    }
}
