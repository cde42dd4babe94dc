//! The data folder with torn writes, damaged bytes, crashes between two files and disk errors.

use std::fs;
use std::path;
use std::sync;

use buckthorncleat::Category;
use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::members;
use buckthorncleat::replica::core::message;
use buckthorncleat::replica::storage;

fn instance() -> id::InstanceId {
    "control-0".parse().unwrap()
}

fn open(path: &path::Path) -> buckthorncleat::Result<(storage::Folder, core::Stored)> {
    storage::Folder::open(path, &instance())
}

fn position(index: u64, term: u64) -> message::Position {
    message::Position {
        index: id::LogIndex::new(index),
        term: id::Term::new(term),
    }
}

fn entry(index: u64, term: u64) -> message::Entry {
    message::Entry {
        at: position(index, term),
        payload: message::Payload::Command(vec![index as u8; 9]),
    }
}

fn snapshot(index: u64, term: u64) -> message::Batch {
    let metadata = message::SnapshotMetadata {
        group: id::Incarnation::new(7),
        at: position(index, term),
        members: members::Membership::default(),
    };
    let data = vec![1; 20];
    message::Batch {
        snapshot: Some(sync::Arc::new(message::Snapshot { metadata, data })),
        ..message::Batch::default()
    }
}

fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64) -> message::Batch {
    let hard_state = message::HardState {
        term: id::Term::new(term),
        vote: None,
    };
    message::Batch {
        hard_state: Some(hard_state),
        entries: indexes.map(|index| entry(index, term)).collect(),
        ..message::Batch::default()
    }
}

/// Creates a folder with the initial snapshot and one group commit for each batch.
fn create_folder(batches: &[message::Batch]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, _) = open(folder.path()).unwrap();
    open.write(&[snapshot(0, 0)]).unwrap();
    for batch in batches {
        open.write(std::slice::from_ref(batch)).unwrap();
    }
    folder
}

fn files(folder: &path::Path, suffix: &str) -> Vec<path::PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let paths = entries.map(|e| e.unwrap().path());
    let mut paths: Vec<_> = paths
        .filter(|p| p.to_str().unwrap().ends_with(suffix))
        .collect();
    paths.sort();
    paths
}

fn indexes(stored: &core::Stored) -> Vec<u64> {
    stored.entries.iter().map(|e| e.at.index.as_u64()).collect()
}

#[test]
fn written_batches_are_read_back() {
    let folder = create_folder(&[entries(1..=3, 1), entries(3..=4, 2)]);
    let (first, stored) = open(folder.path()).unwrap();
    assert_eq!(stored.hard_state.term, id::Term::new(2));
    assert_eq!(
        stored.entries,
        [entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2)]
    );
    let node = first.node().clone();
    drop(first);
    assert_eq!(open(folder.path()).unwrap().0.node(), &node);
}

#[test]
fn tail_torn_at_any_byte_is_truncated() {
    let folder = create_folder(&[entries(1..=2, 1)]);
    let segment = files(folder.path(), ".seg").pop().unwrap();
    let before = fs::metadata(&segment).unwrap().len() as usize;
    let (mut writer, _) = open(folder.path()).unwrap();
    writer.write(&[entries(3..=3, 1)]).unwrap();
    drop(writer);
    let complete = fs::read(&segment).unwrap();
    for length in before..complete.len() {
        fs::write(&segment, &complete[..length]).unwrap();
        let (mut again, stored) = open(folder.path()).unwrap();
        assert_eq!(indexes(&stored), [1, 2], "cut at {length}");
        again.write(&[entries(3..=4, 2)]).unwrap();
        drop(again);
        assert_eq!(indexes(&open(folder.path()).unwrap().1), [1, 2, 3, 4]);
    }
}

#[test]
fn damaged_synced_byte_is_an_error() {
    let folder = create_folder(&[entries(1..=2, 1)]);
    let segment = files(folder.path(), ".seg").pop().unwrap();
    let synced = fs::metadata(&segment).unwrap().len() as usize;
    let (mut writer, _) = open(folder.path()).unwrap();
    writer.write(&[entries(3..=3, 1)]).unwrap();
    drop(writer);
    let complete = fs::read(&segment).unwrap();
    for at in 0..synced {
        let mut bytes = complete.clone();
        bytes[at] ^= 0x10;
        fs::write(&segment, &bytes).unwrap();
        let error = open(folder.path()).unwrap_err();
        assert_eq!(error.classify(), Category::Data, "byte {at}");
        assert!(error.to_string().contains("joins as a learner"), "{error}");
        assert_eq!(fs::read(&segment).unwrap(), bytes, "the file was truncated");
    }
}

#[test]
fn other_damage_is_an_error() {
    type Damage = fn(&path::Path);
    let table: [(&str, Damage); 5] = [
        ("damaged", |folder| {
            let path = files(folder, ".snap").pop().unwrap();
            let mut bytes = fs::read(&path).unwrap();
            bytes[6] ^= 1;
            fs::write(&path, bytes).unwrap();
        }),
        ("before entry", |folder| {
            fs::remove_file(files(folder, ".snap").pop().unwrap()).unwrap();
        }),
        ("no member.json", |folder| {
            fs::remove_file(folder.join("member.json")).unwrap();
        }),
        ("missing log segment", |folder| {
            let last = files(folder, ".seg").pop().unwrap();
            let beyond = last.with_file_name("log-00000000000000000009.seg");
            fs::copy(&last, beyond).unwrap();
        }),
        ("belongs to", |folder| {
            let path = folder.join("member.json");
            let text = fs::read_to_string(&path).unwrap();
            fs::write(&path, text.replace("control-0", "control-1")).unwrap();
        }),
    ];
    for (part, damage) in table {
        let folder = create_folder(&[entries(1..=3, 1)]);
        damage(folder.path());
        let error = open(folder.path()).unwrap_err().to_string();
        assert!(error.contains(part), "{part}: {error}");
    }
}

#[test]
fn temporary_files_of_a_crash_are_removed() {
    let folder = create_folder(&[entries(1..=3, 1)]);
    fs::write(
        folder.path().join("snapshot-00000000000000000009.snap.tmp"),
        b"half",
    )
    .unwrap();
    fs::write(folder.path().join("member.json.tmp"), b"{").unwrap();
    assert_eq!(indexes(&open(folder.path()).unwrap().1), [1, 2, 3]);
    assert!(files(folder.path(), ".tmp").is_empty());
}

#[test]
fn second_open_fails_while_folder_is_locked() {
    let folder = create_folder(&[]);
    let first = open(folder.path()).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.contains("another process"), "{error}");
    drop(first);
    open(folder.path()).unwrap();
}

#[test]
fn snapshot_replaces_included_entries() {
    let folder = create_folder(&[entries(1..=6, 1), snapshot(4, 1), entries(7..=7, 2)]);
    let (_, stored) = open(folder.path()).unwrap();
    assert_eq!(stored.snapshot.unwrap().metadata.at, position(4, 1));
    assert_eq!(files(folder.path(), ".snap").len(), 1);
    let after: Vec<u64> = stored.entries.iter().map(|e| e.at.index.as_u64()).collect();
    assert_eq!(after, [5, 6, 7]);
    assert_eq!(
        stored.hard_state.term,
        id::Term::new(2),
        "the term was lost with its segment"
    );
}

#[test]
fn installed_snapshot_replaces_conflicting_log() {
    // The process crashes after the installation, or after only the snapshot file was renamed.
    // The result is the same.
    let installed = message::Batch {
        reset: true,
        ..snapshot(10, 3)
    };
    let complete = create_folder(&[entries(1..=12, 1), installed.clone()]);
    let renamed_only = create_folder(&[entries(1..=12, 1)]);
    let source = files(complete.path(), ".snap").pop().unwrap();
    fs::copy(
        &source,
        renamed_only.path().join(source.file_name().unwrap()),
    )
    .unwrap();
    for folder in [&complete, &renamed_only] {
        let (mut writer, stored) = open(folder.path()).unwrap();
        assert_eq!(indexes(&stored), [0; 0]);
        writer.write(&[entries(11..=12, 3)]).unwrap();
        drop(writer);
        let (_, stored) = open(folder.path()).unwrap();
        assert_eq!(stored.entries, [entry(11, 3), entry(12, 3)]);
    }
}

/// Copies a segment that a snapshot has made superfluous back into the folder, as a loss of power
/// does when its removal was not synced.
fn restore(segment: &(path::PathBuf, Vec<u8>)) {
    fs::write(&segment.0, &segment.1).unwrap();
}

/// Guards against a member that is refused for good since an older removal of a segment did not last
/// while a newer one did, as earlier builds left it.
#[test]
fn segment_missing_among_covered_ones_is_no_error() {
    let folder = create_folder(&[entries(1..=3, 1), entries(4..=6, 1)]);
    let oldest = files(folder.path(), ".seg").remove(0);
    let oldest = (oldest.clone(), fs::read(&oldest).unwrap());
    let (mut writer, _) = open(folder.path()).unwrap();
    writer.write(&[snapshot(4, 1), entries(7..=9, 1)]).unwrap();
    writer.write(&[snapshot(9, 1)]).unwrap();
    writer.write(&[entries(10..=12, 2)]).unwrap();
    drop(writer);
    let before = files(folder.path(), ".seg");
    restore(&oldest);
    assert!(files(folder.path(), ".seg").len() > before.len());
    let (mut again, stored) = open(folder.path()).unwrap();
    assert_eq!(indexes(&stored), [10, 11, 12]);
    assert_eq!(stored.hard_state.term, id::Term::new(2));
    assert_eq!(files(folder.path(), ".seg"), before, "still there");
    again.write(&[entries(13..=13, 2)]).unwrap();
    drop(again);
    assert_eq!(indexes(&open(folder.path()).unwrap().1), [10, 11, 12, 13]);
}

/// Guards against acknowledged entries that are dropped when covered ones are missing.
#[test]
fn segment_missing_behind_the_snapshot_is_an_error() {
    // The removed segment contains the entries 3 to 8, and later ones nothing, entries that follow
    // it, or entries that replace some of its own.
    for (last, part) in [
        (None, "missing log segment"),
        (Some(entries(9..=9, 1)), "missing log segment"),
        (Some(entries(8..=8, 2)), "missing log segment"),
    ] {
        let folder = create_folder(&[entries(1..=2, 1)]);
        let oldest = files(folder.path(), ".seg").remove(0);
        let oldest = (oldest.clone(), fs::read(&oldest).unwrap());
        let (mut writer, _) = open(folder.path()).unwrap();
        writer.write(&[snapshot(2, 1), entries(3..=8, 1)]).unwrap();
        writer.write(&[snapshot(6, 1)]).unwrap();
        let needed = files(folder.path(), ".seg").remove(0);
        writer.write(last.as_slice()).unwrap();
        drop(writer);
        fs::remove_file(&needed).unwrap();
        restore(&oldest);
        let error = open(folder.path()).unwrap_err().to_string();
        assert!(error.contains(part), "{error}");
    }
}

/// Guards against a vote that is forgotten with the log: the member could vote twice in a term.
#[test]
fn snapshot_without_log_is_an_error() {
    let folder = create_folder(&[entries(1..=2, 1), snapshot(2, 1)]);
    for segment in files(folder.path(), ".seg") {
        fs::remove_file(segment).unwrap();
    }
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.contains("missing log segment"), "{error}");
}

#[test]
fn hard_state_survives_an_empty_new_segment() {
    let folder = create_folder(&[entries(1..=3, 5)]);
    let last = files(folder.path(), ".seg").pop().unwrap();
    let number: u64 = last.to_str().unwrap()[..].rsplit('-').next().unwrap()[..20]
        .parse()
        .unwrap();
    fs::write(
        last.with_file_name(format!("log-{:020}.seg", number + 1)),
        b"",
    )
    .unwrap();
    let (mut writer, _) = open(folder.path()).unwrap();
    writer.write(&[snapshot(3, 5)]).unwrap();
    drop(writer);
    assert_eq!(
        open(folder.path()).unwrap().1.hard_state.term,
        id::Term::new(5)
    );
}

#[test]
fn large_log_spans_several_segments() {
    let folder = create_folder(&[]);
    let (mut writer, _) = open(folder.path()).unwrap();
    for index in 1..=5 {
        let mut batch = entries(index..=index, 1);
        batch.entries[0].payload = message::Payload::Command(vec![7; 4 << 20]);
        writer.write(&[batch]).unwrap();
    }
    drop(writer);
    assert!(files(folder.path(), ".seg").len() > 2);
    assert_eq!(indexes(&open(folder.path()).unwrap().1), [1, 2, 3, 4, 5]);
}

#[test]
fn writes_fail_after_a_disk_error() {
    let folder = create_folder(&[entries(1..=3, 1)]);
    let (mut writer, _) = open(folder.path()).unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    let error = writer.write(&[snapshot(2, 1)]).unwrap_err();
    assert_eq!(error.classify(), Category::Io);
    let error = writer.write(&[entries(4..=4, 1)]).unwrap_err();
    assert!(error.to_string().contains("restart the member"), "{error}");
}

/// UPGRADE: an intact record or snapshot of a later build was reported as a damaged disk, with the
/// remedy to empty the folder.
#[test]
fn intact_data_of_a_later_build_is_not_called_damaged() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()).unwrap());
    let record = [0x7f_u8, 1, 2, 3];
    let mut checked = (record.len() as u32).to_le_bytes().to_vec();
    checked.extend(0_u64.to_le_bytes());
    let sum = crc32fast::hash(&[&checked[..], &record].concat());
    let segment = [b"bcr1", &checked[..], &sum.to_le_bytes(), &record].concat();
    fs::write(folder.path().join(format!("log-{:020}.seg", 0)), segment).unwrap();
    check_unreadable(folder.path());
    let name = format!("snapshot-{:020}.snap", 1);
    let snapshot = [&crc32fast::hash(&record).to_le_bytes()[..], &record].concat();
    fs::write(folder.path().join(name), snapshot).unwrap();
    check_unreadable(folder.path());
}

fn check_unreadable(folder: &path::Path) {
    let error = open(folder).unwrap_err().to_string();
    assert!(error.contains("protocol version 2"), "{error}");
    assert!(error.contains("keep the data folder"), "{error}");
}
