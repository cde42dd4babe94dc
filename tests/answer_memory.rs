//! The memory of bodies that are read whole.

use buckthorncleat::http::memory::{Share, Whole};

/// Bytes that all calls together may take beyond what each may.
const LARGE: usize = 16 << 20;
const SMALL: usize = 32 << 10;

#[test]
fn memory_is_shared_and_given_back() {
    let mut first = Share::default();
    let mut second = Share::default();
    assert!(first.resize(LARGE + SMALL));
    assert!(second.resize(SMALL), "small answers are always read");
    assert!(!second.resize(SMALL + 1));
    assert!(first.resize(LARGE));
    assert!(second.resize(2 * SMALL));
    assert!(!first.resize(LARGE + SMALL));
    drop(first);
    assert!(second.resize(LARGE + SMALL));
    drop(second);

    let bytes: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();
    for step in [1, 1_000, 16 << 10, 17 << 10, bytes.len()] {
        let mut whole = Whole::default();
        assert!(bytes.chunks(step).all(|chunk| whole.push(chunk)));
        assert_eq!(whole.len(), bytes.len());
        assert!(whole.into_bytes() == bytes, "chunks of {step} bytes");
    }
    assert!(Whole::default().into_bytes().is_empty());
    let mut whole = Whole::default();
    assert!(!whole.push(&vec![0; LARGE + SMALL + 1]));
    assert!(whole.is_empty());
}
