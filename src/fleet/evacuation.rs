//! Data centres that operators take out of use: the replicated set, the notice that routers get of it,
//! and the times at which evacuations ended.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;

macros::number! {
    /// The number of changes of the evacuations since the control group was formed.
    Revision
}

/// Data centres that can be evacuated at once, since every summary names them.
pub const MAX_EVACUATED: usize = 256;

/// Ended evacuations that the replicated state keeps; the oldest is dropped first.
const MAX_ENDED: usize = 64;

/// How long an ended evacuation is told to routers.
pub const MAX_ENDED_AGE: clock::Millis = clock::Millis::from_secs(30);

macros::data! {
    /// The evacuations in the replicated state.
    #[derive(Default)]
    pub struct Evacuations {
        revision: Revision,
        /// The data centres that are being evacuated, sorted.
        data_centres: Vec<id::DataCentre>,
        /// The revisions at which evacuations ended that did not begin again. A member that has not
        /// seen the end takes the time from which it knows of it.
        ended: sorted::Map<id::DataCentre, Revision>,
    }
}

/// Too many data centres are being evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

impl Evacuations {
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the data centres that are being evacuated, sorted.
    pub fn data_centres(&self) -> &[id::DataCentre] {
        &self.data_centres
    }

    /// Returns whether a data centre is being evacuated.
    pub fn contains(&self, data_centre: &id::DataCentre) -> bool {
        self.data_centres.binary_search(data_centre).is_ok()
    }

    /// Starts an evacuation; one that has started already changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when [`MAX_EVACUATED`] data centres are being evacuated.
    pub fn start(&mut self, data_centre: &id::DataCentre) -> Result<(), TooMany> {
        let Err(at) = self.data_centres.binary_search(data_centre) else {
            return Ok(());
        };
        if self.data_centres.len() >= MAX_EVACUATED {
            return Err(TooMany);
        }
        self.data_centres.insert(at, data_centre.clone());
        self.ended.remove(data_centre);
        self.revision = self.revision.next();
        Ok(())
    }

    /// Finishes an evacuation; a data centre that is not evacuated changes nothing.
    pub fn finish(&mut self, data_centre: &id::DataCentre) {
        let Ok(at) = self.data_centres.binary_search(data_centre) else {
            return;
        };
        self.data_centres.remove(at);
        self.revision = self.revision.next();
        self.ended.insert(data_centre.clone(), self.revision);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.values().min().copied();
            self.ended.retain(|_, revision| Some(*revision) != oldest);
        }
    }
}

macros::data! {
    /// What a leader tells routers of the evacuations.
    #[derive(Default)]
    pub struct Notice {
        pub revision: Revision,
        /// The data centres that are being evacuated, sorted.
        pub data_centres: Vec<id::DataCentre>,
        /// The data centres whose evacuation ended within [`MAX_ENDED_AGE`], and how long ago; it may
        /// have been earlier.
        pub ended: Vec<(id::DataCentre, clock::Millis)>,
    }
}

/// When one member saw evacuations end.
#[derive(Clone, Debug, Default)]
pub struct EndTimes {
    /// The revision of the last observation.
    revision: Revision,
    times: sorted::Map<id::DataCentre, clock::Millis>,
}

impl EndTimes {
    /// Takes note of the replicated evacuations. An end that is new to this member counts from `now`.
    pub fn observe(&mut self, now: clock::Millis, evacuations: &Evacuations) {
        if evacuations.revision != self.revision {
            for (data_centre, revision) in evacuations.ended.iter() {
                if *revision > self.revision {
                    self.times.insert(data_centre.clone(), now);
                }
            }
            self.revision = evacuations.revision;
        }
        self.times.retain(|data_centre, at| {
            now < *at + MAX_ENDED_AGE && !evacuations.contains(data_centre)
        });
    }

    /// Makes the notice for routers, after [`Self::observe`].
    pub fn notice(&self, now: clock::Millis, evacuations: &Evacuations) -> Notice {
        let ended = self.times.iter();
        Notice {
            revision: evacuations.revision,
            data_centres: evacuations.data_centres.clone(),
            ended: ended.map(|(d, at)| (d.clone(), now - *at)).collect(),
        }
    }
}

/// The newest evacuations that a router knows.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// `None` before the first notice.
    revision: Option<Revision>,
    /// Sorted.
    data_centres: Vec<id::DataCentre>,
}

impl Known {
    /// Returns the revision that is in force; `None` before the first notice.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Applies a notice unless this router knows that revision or a newer one; returns whether it did.
    pub fn apply(&mut self, notice: &Notice) -> bool {
        if self.revision >= Some(notice.revision) {
            return false;
        }
        self.revision = Some(notice.revision);
        self.data_centres.clone_from(&notice.data_centres);
        // A section of another build may be unsorted, which must not hide an evacuation.
        self.data_centres.sort();
        true
    }

    /// Returns whether no data centre is being evacuated.
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// Returns whether a data centre is being evacuated.
    pub fn contains(&self, data_centre: &id::DataCentre) -> bool {
        self.data_centres.binary_search(data_centre).is_ok()
    }
}
