//! Bytes on the wire and the time of frames.

use buckthorncleat::clock;
use buckthorncleat::controller::limiter;
use buckthorncleat::controller::scheduler;
use buckthorncleat::event;
use buckthorncleat::id;
use buckthorncleat::peer::frame;
use buckthorncleat::peer::link;
use buckthorncleat::peer::message;
use buckthorncleat::replica::core::message as replica;
use buckthorncleat::state::change;
use buckthorncleat::unit;

use crate::fit;
use crate::fleet;

pub fn run() {
    let points = [100, 1_024, 4_096, 16_384, 65_536].map(|n| fit::Point {
        x: n as f64,
        y: frame_time(n),
    });
    fit::print("frame: encode and check", "bytes", "microseconds", &points);
    println!();
    let put = change::Commit {
        revision: id::Revision::new(1_000_000),
        changes: vec![change::Change::PutServer(fleet::server(1_500))],
    };
    println!("one commit (a server replaced): {} bytes", size(&put));
    println!("one Watch, framed: {} bytes", framed(&watch()));
    println!(
        "one Watched, no commit, framed: {} bytes",
        framed(&watched(Vec::new()))
    );
    println!(
        "one Watched, one commit, framed: {} bytes",
        framed(&watched(vec![put.clone()]))
    );
    let ping = framed(&message::Request::Ping);
    let accepted = framed(&answer(message::Reply::Accepted));
    println!("one Ping, framed: {ping} bytes; its answer: {accepted} bytes");
    println!(
        "one Charge, framed: {} bytes; its answer: {}",
        framed(&charge()),
        framed(&granted())
    );
    for n in [10, 100, 500] {
        println!("one Renew of {n}, framed: {} bytes", framed(&renew(n)));
    }
    let entry = append(size(&put) as usize);
    let beat = append(0);
    println!("one Append with that commit, framed: {entry} bytes; empty: {beat} bytes");
    println!(
        "so per committed entry: {} bytes to 2, {} to 4 followers",
        entry * 2,
        entry * 4
    );
}

/// Returns the encoded size in bytes.
pub fn size<T: serde::Serialize>(value: &T) -> f64 {
    bytes(value).len() as f64
}

fn bytes<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a value that can be encoded")
}

fn secret() -> frame::Secret {
    frame::Secret::from_bytes(&[7; 32]).expect("a secret of 32 bytes")
}

fn frame_of(body: Vec<u8>) -> frame::Frame {
    frame::Frame {
        header: frame::Header {
            from: fleet::member(0).id,
            from_incarnation: id::Incarnation::new(u64::MAX),
            to_incarnation: id::Incarnation::new(u64::MAX),
            sequence: 1_000_000,
            stamp: event::Stamp {
                wall: 1_800_000_000_000,
                counter: 1,
            },
        },
        body,
    }
}

fn framed<T: serde::Serialize>(message: &T) -> usize {
    let frame = frame_of(bytes(message)).to_bytes(&secret());
    frame.expect("a frame that can be encoded").len()
}

fn frame_time(bytes: usize) -> f64 {
    let frame = frame_of(vec![1; bytes]);
    let secret = secret();
    fit::micros(
        100,
        || (),
        |(), _| {
            let text = frame.to_bytes(&secret).expect("a frame");
            frame::Frame::from_bytes(&text, &secret).expect("an authentic frame")
        },
    )
}

fn watch() -> message::Request {
    message::Request::Watch(message::Watch {
        member: fleet::member(300),
        have: id::Revision::new(1_000_000),
        wait: clock::Millis::new(400),
    })
}

fn watched(commits: Vec<change::Commit>) -> link::Envelope {
    answer(message::Reply::Watched(message::Watched {
        update: message::Update::Commits(commits),
        settled: id::Epoch::new(100_000),
    }))
}

fn answer(reply: message::Reply) -> link::Envelope {
    link::Envelope::Answer(Box::new(reply))
}

fn charge() -> message::Request {
    let charge = limiter::Charge {
        request: id::RequestId::new(u128::MAX),
        account: fleet::account(1).id,
        tokens: unit::Tokens::new(10_000),
        max_wait: clock::Millis::new(900),
    };
    message::Request::Limiter(message::ToOwner {
        epoch: id::Epoch::new(100_000),
        message: limiter::Request::Charge(charge),
    })
}

fn granted() -> link::Envelope {
    let delay = clock::Millis::ZERO;
    answer(message::Reply::Limiter(limiter::Reply::Granted { delay }))
}

fn renew(count: u64) -> message::Request {
    let held = (0..count).map(|n| id::ReservationId::new(10_000_000 + n));
    let scheduling = message::Scheduling {
        model: fleet::model().id,
        request: scheduler::Request::Renew(held.collect()),
    };
    message::Request::Scheduler(message::ToOwner {
        epoch: id::Epoch::new(100_000),
        message: scheduling,
    })
}

fn append(payload: usize) -> usize {
    let at = replica::Position {
        index: id::LogIndex::new(1_000_000),
        term: id::Term::new(100),
    };
    let node = || replica::NodeId {
        instance: fleet::name("control-1"),
        incarnation: id::Incarnation::new(u64::MAX),
    };
    let entry = replica::Entry {
        at,
        payload: replica::Payload::Command(vec![1; payload]),
    };
    let message = replica::Message {
        group: id::Incarnation::new(u64::MAX),
        from: node(),
        to: node(),
        term: at.term,
        body: replica::Body::AppendRequest {
            previous: at,
            entries: (payload > 0).then_some(entry).into_iter().collect(),
            committed: at.index,
            round: 1_000_000,
        },
    };
    framed(&message::Request::Replica(bytes(&message)))
}
