//! What a sheet changes in the configuration in force.
//!
//! The rule: a row overwrites what is there, also what operators changed during the day, but for
//! the state of a server whose `state` cell is empty. What the sheet does not name is kept, unless
//! it is to be pruned. Keys are never touched by a sheet.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::config::sheet;
use crate::config::sheet::time;
use crate::id;
use crate::macros;
use crate::state::audit;
use crate::state::change;
use crate::state::check;
use crate::state::subject;

/// The start of the operation ids under which sheets are applied.
pub const OPERATION_PREFIX: &str = "sheet-";

macros::data! {
    /// The changes that a sheet makes, and what it keeps.
    pub struct Plan {
        /// The revision that the plan was made for.
        pub revision: id::Revision,
        /// The changes.
        pub steps: Vec<Step>,
        /// Things that the sheet does not name and that stay.
        pub kept: Vec<subject::Subject>,
    }
}

macros::data! {
    /// One change of a plan.
    pub struct Step {
        /// The change.
        pub change: change::Change,
        /// The fields that change, for a thing that is there.
        pub fields: Vec<Field>,
        /// Whether the thing is new.
        pub new: bool,
        /// The change during the day that this one overwrites.
        pub overwrites: Option<Overwritten>,
    }
}

macros::data! {
    /// A field that changes.
    pub struct Field {
        /// The name of the field.
        pub name: String,
        /// What it holds now, as JSON.
        pub old: String,
        /// What it will hold, as JSON.
        pub new: String,
    }
}

macros::data! {
    /// A change that an operator made during the day.
    pub struct Overwritten {
        /// The operator.
        pub operator: String,
        /// The revision that the change made.
        pub revision: id::Revision,
    }
}

impl Plan {
    /// Compares the rows in effect with the configuration in force.
    pub fn new(
        sheet: &sheet::Sheet,
        at: Option<time::TimeOfDay>,
        prune: bool,
        config: &change::Config,
        trail: &[audit::Entry],
    ) -> Self {
        let rows = sheet.rows_at(at);
        let mut puts: Vec<_> = rows.iter().map(|row| put_of(row, config)).collect();
        puts.retain(|put| !check::is_no_op(config, put));
        let mut steps: Vec<_> = puts
            .into_iter()
            .map(|put| Step::new(put, config, trail))
            .collect();
        let (removed, kept) = unnamed(sheet, prune, config);
        steps.extend(removed.into_iter().map(|r| Step::new(r, config, trail)));
        Self {
            revision: config.revision,
            steps,
            kept,
        }
    }

    /// Returns the changes in order.
    pub fn changes(&self) -> Vec<change::Change> {
        self.steps.iter().map(|step| step.change.clone()).collect()
    }
}

/// Returns what a row puts; a server keeps its state when the row does not give one.
fn put_of(row: &sheet::row::Row, config: &change::Config) -> change::Change {
    let mut put = row.put.clone();
    if let change::Change::PutServer(server) = &mut put
        && row.keeps_state
        && let Some(present) = config.servers.get(&server.id)
    {
        server.state = present.state;
    }
    put
}

/// Splits what the sheet does not name into removals and what is kept.
fn unnamed(
    sheet: &sheet::Sheet,
    prune: bool,
    config: &change::Config,
) -> (Vec<change::Change>, Vec<subject::Subject>) {
    use change::Change;
    let servers = config.servers.values();
    let accounts = config.accounts.values();
    let routes = config.routes.values();
    let models = config.models.values();
    let present = servers
        .map(|s| {
            (
                Change::PutServer(s.clone()),
                Change::RemoveServer(s.id.clone()),
            )
        })
        .chain(accounts.map(|a| {
            (
                Change::PutAccount(a.clone()),
                Change::RemoveAccount(a.id.clone()),
            )
        }))
        .chain(routes.map(|r| {
            (
                Change::PutRoute(r.clone()),
                Change::RemoveRoute(r.id.clone()),
            )
        }))
        .chain(models.map(|m| {
            (
                Change::PutModel(m.clone()),
                Change::RemoveModel(m.id.clone()),
            )
        }));
    let mut removed = Vec::new();
    let mut kept = Vec::new();
    for (put, remove) in present {
        let subject = subject::Subject::from_change(&put);
        if sheet.names(&subject) {
            continue;
        }
        if prune {
            removed.push(remove);
        } else {
            kept.push(subject);
        }
    }
    (removed, kept)
}

impl Step {
    fn new(change: change::Change, config: &change::Config, trail: &[audit::Entry]) -> Self {
        let fields = fields_of(&change, config);
        let overwrites = overwritten(&change, trail);
        Self {
            new: fields.is_none(),
            fields: fields.unwrap_or_default(),
            change,
            overwrites,
        }
    }
}

/// Returns the fields that a change touches, or `None` when the thing is not there yet.
fn fields_of(change: &change::Change, config: &change::Config) -> Option<Vec<Field>> {
    use change::Change;
    match change {
        Change::PutAccount(new) => Some(differences(config.accounts.get(&new.id)?, new)),
        Change::PutModel(new) => Some(differences(config.models.get(&new.id)?, new)),
        Change::PutServer(new) => Some(differences(config.servers.get(&new.id)?, new)),
        Change::PutRoute(new) => Some(differences(config.routes.get(&new.id)?, new)),
        _ => Some(Vec::new()),
    }
}

fn differences<T: Serialize>(old: &T, new: &T) -> Vec<Field> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return Vec::new();
    };
    let pairs = new
        .into_iter()
        .filter(|(name, value)| old.get(name) != Some(value));
    pairs
        .map(|(name, value)| Field {
            old: old.get(&name).cloned().unwrap_or_default().to_string(),
            new: value.to_string(),
            name,
        })
        .collect()
}

/// Finds the last change of the same thing in the audit trail, if it was not by a sheet.
fn overwritten(change: &change::Change, trail: &[audit::Entry]) -> Option<Overwritten> {
    let subject = subject::Subject::from_change(change);
    let is_it = |s: &subject::Subject| s.kind == subject.kind && s.name == subject.name;
    let last = trail.iter().rev().find(|e| e.subjects.iter().any(is_it))?;
    if last.operation.as_str().starts_with(OPERATION_PREFIX) {
        return None;
    }
    Some(Overwritten {
        operator: last.operator.clone(),
        revision: last.revision,
    })
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "against revision {}", self.revision)?;
        if self.steps.is_empty() {
            write!(f, "\nnothing to change")?;
        }
        for step in &self.steps {
            write!(f, "\n{step}")?;
        }
        for subject in &self.kept {
            write!(
                f,
                "\n= {} {} (not in the sheet, kept)",
                subject.kind, subject.name
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = subject::Subject::from_change(&self.change);
        let sign = match subject.action {
            subject::Action::Remove => "-",
            subject::Action::Put if self.new => "+",
            subject::Action::Put => "~",
        };
        write!(f, "{sign} {} {}", subject.kind, subject.name)?;
        for field in &self.fields {
            write!(f, " {}: {} -> {}", field.name, field.old, field.new)?;
        }
        if let Some(by) = &self.overwrites {
            write!(
                f,
                " (overwrites revision {} by {})",
                by.revision, by.operator
            )?;
        }
        Ok(())
    }
}
