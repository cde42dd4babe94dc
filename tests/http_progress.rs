//! Whether a body may end where its framing ends it.

use buckthorncleat::http::progress::{Framing, Position, Progress};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Returns whether a stream that ends after these bytes ends inside an event.
fn ends_inside_event(bytes: &str) -> bool {
    let mut whole = Position::default();
    whole.advance(bytes.as_bytes());
    let mut bytewise = Position::default();
    for byte in bytes.as_bytes() {
        bytewise.advance(&[*byte]);
    }
    assert_eq!(whole, bytewise, "{bytes:?}");
    whole.is_inside_event()
}

#[test]
fn a_blank_line_ends_an_event_with_any_line_ends() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{end}data: x{end}");
        assert!(ends_inside_event("id: 1"), "{end:?}");
        assert!(ends_inside_event(&event), "{end:?}");
        let complete = format!("{event}{end}");
        assert!(!ends_inside_event(&complete), "{end:?}");
        assert!(!ends_inside_event(&format!("{complete}{end}")), "{end:?}");
        assert!(ends_inside_event(&format!("{complete}i")), "{end:?}");
    }
    assert!(!ends_inside_event(""));
    assert!(!ends_inside_event(": a comment\n\n"));
}

fn progress(headers: &[(&str, &str)], body: &str) -> Progress {
    let pairs = headers.iter().map(|(name, value)| {
        let name: HeaderName = name.parse().unwrap();
        (name, HeaderValue::from_str(value).unwrap())
    });
    let headers: HeaderMap = pairs.collect();
    let mut progress = Progress::new(&headers);
    progress.advance(body.as_bytes());
    progress
}

#[test]
fn the_headers_tell_what_marks_the_end_of_a_body() {
    let framing = |headers: &[(&str, &str)]| progress(headers, "").framing();
    assert_eq!(framing(&[]), Framing::UntilClose);
    assert_eq!(framing(&[("content-length", "3")]), Framing::Length);
    assert_eq!(
        framing(&[("transfer-encoding", "gzip")]),
        Framing::UntilClose
    );
    for coding in ["chunked", "gzip, Chunked"] {
        assert_eq!(framing(&[("transfer-encoding", coding)]), Framing::Chunked);
    }
}

#[test]
fn a_stream_may_not_end_inside_an_event_whatever_its_framing() {
    let events = ("content-type", "text/event-stream; charset=utf-8");
    for framing in [
        ("x", "none"),
        ("transfer-encoding", "chunked"),
        ("content-length", "9"),
    ] {
        assert!(
            progress(&[events, framing], "id: 1\n\n").may_end(),
            "{framing:?}"
        );
        assert!(
            !progress(&[events, framing], "id: 1\n\nid: 2").may_end(),
            "{framing:?}"
        );
    }
}

#[test]
fn an_empty_stream_is_complete_only_with_a_framing_that_says_so() {
    let events = ("content-type", "text/event-stream");
    assert!(!progress(&[events], "").may_end());
    assert!(progress(&[events, ("content-length", "0")], "").may_end());
    assert!(progress(&[events, ("transfer-encoding", "chunked")], "").may_end());
}

#[test]
fn other_bodies_end_where_their_framing_says() {
    for body in ["", "{\"half\":"] {
        assert!(progress(&[], body).may_end());
        assert!(progress(&[("content-type", "application/json")], body).may_end());
    }
}

#[test]
fn a_body_without_a_type_consists_of_events_where_they_are_expected() {
    let mut untyped = progress(&[], "");
    untyped.expect_events();
    assert!(!untyped.may_end());
    let mut json = progress(&[("content-type", "application/json")], "");
    json.expect_events();
    assert!(json.may_end());
}
