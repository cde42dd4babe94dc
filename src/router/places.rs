//! Where a router sends work: the servers, how busy they are, and which of them fail.

use std::net;

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::id;
use crate::sorted;
use crate::unit;

/// The blocks in which model servers hand out memory, in tokens.
const MEMORY_BLOCK: u64 = 16;

/// The prompt tokens that a prefill server reads in a millisecond until one was measured.
const FIRST_READ_RATE: f64 = 30.0;

/// The weight of the newest sample in running means.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The first time without work after a server could not be reached or broke off; each further one
/// in a row is twice as long.
const FIRST_PAUSE: clock::Millis = clock::Millis::new(250);

/// The longest time without work; crashed servers are back after some seconds.
const LONGEST_PAUSE: clock::Millis = clock::Millis::new(4_000);

/// The time without new streams for a server that had no room for one; some streams end meanwhile.
const FULL_PAUSE: clock::Millis = clock::Millis::new(120);

/// The time without work for a server that is not what the list says; the list lags about as long.
const MISPLACED_PAUSE: clock::Millis = clock::Millis::new(1_000);

/// The share of failed answers up to which a server counts as sound; some requests fail anywhere.
const SOUND_FAILURES: f64 = 0.25;

/// How much a share of failures over [`SOUND_FAILURES`] weighs against a share of busy places.
const FAILURE_WEIGHT: f64 = 4.0;

/// What a server of another data centre costs, as a share of its places.
const DISTANCE_WEIGHT: f64 = 0.02;

/// The share of a server's room up to which requests are placed whose answers are late already; the
/// rest is kept for those that can still be in time, wherever they arrive.
const FULLEST_FOR_LATE: f64 = 0.85;

/// How much busier than the least busy server another may be and still be picked, as a share of its
/// room. What other routers send becomes known a report later; if all took the least busy one, it
/// would get what a whole fleet sends in that time. Half of the slots of a small server.
const PLAIN_SPREAD: f64 = 0.5;

/// The same for model servers that generate: about half of what one request holds.
const DECODE_SPREAD: f64 = 0.07;

/// The same for model servers that read prompts, in milliseconds: half of what one prompt takes.
const PREFILL_SPREAD: f64 = 50.0;

/// The requests that may wait at a server of a plain service, for each that it runs at once.
const QUEUE_PER_SLOT: u32 = 2;

/// The servers as one router sees them.
#[derive(Debug)]
pub struct Places {
    data_centre: id::DataCentre,
    servers: sorted::Map<id::BackendServerId, Place>,
    others: sorted::Map<id::BackendServerId, message::Load>,
    others_at: clock::Millis,
    /// Servers that several other routers can't reach.
    shunned: Vec<id::BackendServerId>,
}

#[derive(Debug)]
struct Place {
    server: message::Server,
    listed: bool,
    own: message::Load,
    failures_in_row: u32,
    /// Whether the last failure was that no connection could be opened.
    unreached: bool,
    paused_until: clock::Millis,
    full_until: clock::Millis,
    failure_share: f64,
    read_rate: f64,
}

/// A server that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The server.
    pub id: id::BackendServerId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// How busy it was when it was picked, as a share of its room.
    pub busy_percent: u32,
    /// The age of what was known of the other routers' work there.
    pub report_age: clock::Millis,
}

/// Why no server was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// All usable servers are full.
    Full,
    /// There is no usable server.
    None,
}

/// What was known of a service's decode servers when none was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// The servers that generate.
    pub servers: usize,
    /// Those that are neither lost, nor out of reach of others, nor refused a moment ago.
    pub sound: usize,
    /// How full the emptiest of these is.
    pub least_percent: u32,
    /// The age of what was known of the other routers' work.
    pub report_age: clock::Millis,
}

/// What a request needs of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The memory.
    pub memory: unit::Tokens,
    /// Whether its answer is late already.
    pub late: bool,
}

impl Need {
    /// Returns the share of a server's room up to which the request may fill it.
    fn fullest(self) -> f64 {
        if self.late { FULLEST_FOR_LATE } else { 1.0 }
    }
}

/// How work at a server ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As it should.
    Good,
    /// The server said that it failed.
    Failed,
    /// The server broke off or was silent.
    Lost,
    /// No connection to the server could be opened.
    Unreached,
    /// It tells nothing, as when the caller left or the server had no room.
    Neutral,
}

/// Where to read a prompt, and how long that will take.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillPick {
    /// The server.
    pub pick: Pick,
    /// The time until the prompt is read.
    pub time: clock::Millis,
    /// The tokens that the server reads until then, those of other requests among them.
    pub tokens: unit::Tokens,
}

impl Places {
    /// Starts without any server.
    pub fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            servers: sorted::Map::new(),
            others: sorted::Map::new(),
            others_at: clock::Millis::ZERO,
            shunned: Vec::new(),
        }
    }

    /// Takes in a list of servers; those that are gone from it get no more work.
    pub fn set_list(&mut self, servers: &[message::Server]) {
        self.servers
            .values_mut()
            .for_each(|place| place.listed = false);
        for server in servers {
            let place = self
                .servers
                .get_or_insert_with(server.id.clone(), || Place::new(server.clone()));
            place.server = server.clone();
            place.listed = true;
        }
        self.forget();
    }

    /// Takes in what the other routers keep the servers busy with.
    pub fn set_others(
        &mut self,
        now: clock::Millis,
        others: sorted::Map<id::BackendServerId, message::Load>,
    ) {
        self.others = others;
        self.others_at = now;
    }

    /// Takes in the servers that several other routers can't reach, in order of their names.
    pub fn set_shunned(&mut self, shunned: Vec<id::BackendServerId>) {
        self.shunned = shunned;
    }

    /// Returns the servers that this router could not reach a moment ago.
    pub fn unreached(&self, now: clock::Millis) -> Vec<id::BackendServerId> {
        let lost = self.servers.iter();
        lost.filter(|(_, p)| p.unreached && now < p.paused_until)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns what this router keeps the servers busy with.
    pub fn loads(&self) -> sorted::Map<id::BackendServerId, message::Load> {
        let busy = self.servers.iter().filter(|(_, p)| p.own.requests > 0);
        busy.map(|(id, p)| (id.clone(), p.own)).collect()
    }

    /// Picks one of the least busy servers of a plain service.
    ///
    /// # Errors
    ///
    /// Tells whether the servers are full or there are none.
    pub fn pick_plain(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        tried: &[id::BackendServerId],
        draw: u64,
    ) -> Result<Pick, NoPlace> {
        let usable = self.usable(now, service, None, tried);
        let busy = |place: &&Place| {
            f64::from(self.load(place).requests) / f64::from(place.server.slots.max(1))
        };
        let score = |place: &&Place| busy(place) + self.penalty(place);
        let best = pick_near_best(usable.into_iter(), draw, PLAIN_SPREAD, score);
        let best = best.ok_or(NoPlace::None)?;
        let room = best.server.slots.max(1) * (1 + QUEUE_PER_SLOT);
        if self.load(best).requests >= room {
            return Err(NoPlace::Full);
        }
        Ok(self.pick(now, best, busy(&best)))
    }

    /// Picks one of the servers with the most free memory to generate at.
    ///
    /// # Errors
    ///
    /// Tells whether no server has room for `need` or there are none.
    pub fn pick_decode(
        &self,
        now: clock::Millis,
        service: &document::Service,
        need: Need,
        tried: &[id::BackendServerId],
        draw: u64,
    ) -> Result<Pick, NoPlace> {
        let stage = Some(message::Stage::Decode);
        let usable = self.usable(now, &service.id, stage, tried);
        let one_more = message::Load {
            requests: 1,
            memory: need.memory,
            ..message::Load::default()
        };
        let fullness = |place: &&Place| {
            let mut load = self.load(place);
            load.add(one_more);
            fullness_of(service, load)
        };
        let score = |place: &&Place| fullness(place) + self.penalty(place);
        let any = !usable.is_empty();
        let fitting = usable
            .into_iter()
            .filter(|p| now >= p.full_until && fullness(p) <= need.fullest());
        match pick_near_best(fitting, draw, DECODE_SPREAD, score) {
            Some(best) => Ok(self.pick(now, best, fullness(&best))),
            None if any => Err(NoPlace::Full),
            None => Err(NoPlace::None),
        }
    }

    /// Returns what is known of a service's decode servers, for the log.
    pub fn decode_room(&self, now: clock::Millis, service: &document::Service) -> Room {
        let stage = Some(message::Stage::Decode);
        let usable = self.usable(now, &service.id, stage, &[]);
        let percent = |p: &&Place| percent_of(fullness_of(service, self.load(p)));
        let sound = usable.iter().filter(|p| now >= p.full_until);
        Room {
            servers: usable.len(),
            sound: sound.clone().count(),
            least_percent: sound.map(percent).min().unwrap_or_default(),
            report_age: now - self.others_at,
        }
    }

    /// Picks one of the servers that will have read a prompt first.
    pub fn pick_prefill(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        prompt: unit::Tokens,
        tried: &[id::BackendServerId],
        draw: u64,
    ) -> Option<PrefillPick> {
        let stage = Some(message::Stage::Prefill);
        let usable = self.usable(now, service, stage, tried);
        let time = |place: &&Place| {
            let tokens = (self.load(place).prompts + prompt).as_u64() as f64;
            tokens / place.read_rate * (1.0 + self.penalty(place))
        };
        let with_room = usable.into_iter().filter(|p| now >= p.full_until);
        let best = pick_near_best(with_room, draw, PREFILL_SPREAD, time)?;
        let time = clock::Millis::new(time(&best) as u64);
        Some(PrefillPick {
            pick: self.pick(now, best, 0.0),
            time,
            tokens: self.load(best).prompts + prompt,
        })
    }

    /// Notes that work was given to a server.
    pub fn begin(&mut self, id: &id::BackendServerId, load: message::Load) {
        if let Some(place) = self.servers.get_mut(id) {
            place.own.add(load);
        }
    }

    /// Notes that work at a server ended.
    pub fn end(
        &mut self,
        now: clock::Millis,
        id: &id::BackendServerId,
        load: message::Load,
        end: End,
    ) {
        if let Some(place) = self.servers.get_mut(id) {
            place.own.requests -= load.requests;
            place.own.memory = place.own.memory.saturating_sub(load.memory);
            place.own.prompts = place.own.prompts.saturating_sub(load.prompts);
            place.judge(now, end);
        }
        self.forget();
    }

    /// Notes how long a server took to read the prompts that it had.
    pub fn note_read(
        &mut self,
        id: &id::BackendServerId,
        tokens: unit::Tokens,
        took: clock::Millis,
    ) {
        if let Some(place) = self.servers.get_mut(id) {
            let rate = tokens.as_u64() as f64 / took.as_u64().max(1) as f64;
            place.read_rate += (rate - place.read_rate) * SAMPLE_WEIGHT;
        }
    }

    /// Gives a server no work for a moment, as it has less room than it seems to have.
    pub fn note_full(&mut self, now: clock::Millis, id: &id::BackendServerId) {
        if let Some(place) = self.servers.get_mut(id) {
            place.full_until = now + FULL_PAUSE;
        }
    }

    /// Gives a server no work for a while, as another one has its address now, or it does other
    /// work than the list says.
    pub fn misplaced(&mut self, now: clock::Millis, id: &id::BackendServerId) {
        if let Some(place) = self.servers.get_mut(id) {
            place.paused_until = now + MISPLACED_PAUSE;
        }
    }

    fn forget(&mut self) {
        self.servers
            .retain(|_, place| place.listed || place.own.requests > 0);
    }

    fn pick(&self, now: clock::Millis, place: &Place, busy: f64) -> Pick {
        Pick {
            id: place.server.id.clone(),
            address: place.server.address,
            busy_percent: percent_of(busy),
            report_age: now - self.others_at,
        }
    }

    /// Tells whether other routers can't reach a server.
    fn is_shunned(&self, place: &Place) -> bool {
        self.shunned.binary_search(&place.server.id).is_ok()
    }

    fn load(&self, place: &Place) -> message::Load {
        let mut load = place.own;
        load.add(
            self.others
                .get(&place.server.id)
                .copied()
                .unwrap_or_default(),
        );
        load
    }

    fn penalty(&self, place: &Place) -> f64 {
        let failing = (place.failure_share - SOUND_FAILURES).max(0.0) * FAILURE_WEIGHT;
        let far = place.server.data_centre != self.data_centre;
        failing + if far { DISTANCE_WEIGHT } else { 0.0 }
    }

    /// Returns the servers that may get work; those that pause come in when there is no other.
    fn usable(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        stage: Option<message::Stage>,
        tried: &[id::BackendServerId],
    ) -> Vec<&Place> {
        let fits = |place: &&Place| {
            place.listed
                && place.server.state == message::ServerState::Ready
                && place.server.service == *service
                && (stage.is_none() || place.server.stage == stage)
                && !tried.contains(&place.server.id)
        };
        let fitting: Vec<&Place> = self.servers.values().filter(fits).collect();
        let sound: Vec<&Place> = fitting
            .iter()
            .copied()
            .filter(|p| now >= p.paused_until && !self.is_shunned(p))
            .collect();
        if sound.is_empty() { fitting } else { sound }
    }
}

impl Place {
    fn new(server: message::Server) -> Self {
        Self {
            server,
            listed: true,
            own: message::Load::default(),
            failures_in_row: 0,
            unreached: false,
            paused_until: clock::Millis::ZERO,
            full_until: clock::Millis::ZERO,
            failure_share: 0.0,
            read_rate: FIRST_READ_RATE,
        }
    }

    fn judge(&mut self, now: clock::Millis, end: End) {
        let sample = match end {
            End::Neutral => return,
            End::Good => 0.0,
            End::Failed | End::Lost | End::Unreached => 1.0,
        };
        self.failure_share += (sample - self.failure_share) * SAMPLE_WEIGHT;
        self.unreached = end == End::Unreached;
        if end == End::Good || end == End::Failed {
            self.failures_in_row = 0;
            return;
        }
        let pause = FIRST_PAUSE * (1 << self.failures_in_row.min(8));
        self.failures_in_row += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }
}

/// Returns the share of a model server's room that a load takes: of its memory or of its slots,
/// whichever is more.
fn fullness_of(service: &document::Service, load: message::Load) -> f64 {
    let engine = service.engine.as_ref();
    let (slots, memory) = engine.map_or((1, u64::MAX), |e| (e.slots, e.memory.as_u64()));
    let memory_share = load.memory.as_u64() as f64 / memory.max(1) as f64;
    let slot_share = f64::from(load.requests) / f64::from(slots.max(1));
    memory_share.max(slot_share)
}

fn percent_of(share: f64) -> u32 {
    (share * 100.0) as u32
}

/// Returns the memory that a generation needs.
pub fn memory_for(prompt: unit::Tokens, output: unit::Tokens) -> unit::Tokens {
    let tokens = prompt.as_u64() + output.as_u64();
    unit::Tokens::new(tokens.div_ceil(MEMORY_BLOCK) * MEMORY_BLOCK)
}

/// Returns one of the entries whose score is at most `spread` over the lowest, by a number drawn at
/// random, so that routers with the same view don't all take the same one.
fn pick_near_best<'a>(
    places: impl Iterator<Item = &'a Place>,
    draw: u64,
    spread: f64,
    score: impl Fn(&&'a Place) -> f64,
) -> Option<&'a Place> {
    let scored: Vec<(f64, &Place)> = places.map(|place| (score(&place), place)).collect();
    let lowest = scored
        .iter()
        .map(|(score, _)| *score)
        .min_by(f64::total_cmp)?;
    let near: Vec<&Place> = scored
        .into_iter()
        .filter(|(score, _)| *score <= lowest + spread)
        .map(|(_, place)| place)
        .collect();
    Some(near[(draw % near.len() as u64) as usize])
}
