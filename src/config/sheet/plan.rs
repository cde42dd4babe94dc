//! Computes the changes that a sheet makes to the current configuration.
//!
//! A row overwrites the existing item, including changes that operators made during the day. A
//! server whose `state` cell is empty keeps its state. Items that the sheet does not name are kept,
//! or removed with `prune`. A sheet never changes keys.

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

/// The prefix of the operation ids under which sheets are applied.
pub const OPERATION_PREFIX: &str = "sheet-";

macros::data! {
    /// The changes that a sheet makes, and the items that it keeps.
    pub struct Plan {
        /// The revision of the configuration that the sheet was compared with.
        pub revision: id::Revision,
        pub steps: Vec<Step>,
        /// Existing items that the sheet neither names nor removes.
        pub kept: Vec<subject::Subject>,
    }
}

macros::data! {
    /// One change of a plan.
    pub struct Step {
        pub change: change::Change,
        /// The fields that differ; empty for a new or a removed item.
        pub fields: Vec<Field>,
        /// Whether the item is new.
        pub new: bool,
        /// The operator's change that this step overwrites, if the last change of the item was not
        /// made by a sheet.
        pub overwrites: Option<OperatorChange>,
    }
}

macros::data! {
    /// A field whose value a step changes.
    pub struct Field {
        pub name: String,
        /// The current value, as JSON.
        pub old: String,
        /// The value after the change, as JSON.
        pub new: String,
    }
}

macros::data! {
    /// A change that an operator made by hand.
    pub struct OperatorChange {
        pub operator: String,
        /// The revision that the change created.
        pub revision: id::Revision,
    }
}

impl Plan {
    /// Compares the rows in effect at `at` with the current configuration.
    ///
    /// With `prune`, items that the sheet does not name are removed. Overwritten changes are looked
    /// up in `audit_log`.
    pub fn new(
        sheet: &sheet::Sheet,
        at: Option<time::TimeOfDay>,
        prune: bool,
        config: &change::Config,
        audit_log: &[audit::Entry],
    ) -> Self {
        let rows = sheet.rows_at(at);
        let mut puts: Vec<_> = rows.iter().map(|row| put_of(row, config)).collect();
        puts.retain(|put| !check::is_no_op(config, put));
        let mut steps: Vec<_> = puts
            .into_iter()
            .map(|put| Step::new(put, config, audit_log))
            .collect();
        let (removed, kept) = unnamed_items(sheet, prune, config);
        steps.extend(removed.into_iter().map(|r| Step::new(r, config, audit_log)));
        Self {
            revision: config.revision,
            steps,
            kept,
        }
    }

    pub fn changes(&self) -> Vec<change::Change> {
        self.steps.iter().map(|step| step.change.clone()).collect()
    }
}

/// Returns the change of a row; an existing server keeps its state if the row gives none.
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

/// Returns the removals and the kept items among the items that the sheet does not name.
fn unnamed_items(
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
        if sheet.contains(&subject) {
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
    fn new(change: change::Change, config: &change::Config, audit_log: &[audit::Entry]) -> Self {
        let fields = fields_of(&change, config);
        let overwrites = overwritten_change(&change, audit_log);
        Self {
            new: fields.is_none(),
            fields: fields.unwrap_or_default(),
            change,
            overwrites,
        }
    }
}

/// Returns the fields that a change alters, or `None` if the item does not exist yet.
fn fields_of(change: &change::Change, config: &change::Config) -> Option<Vec<Field>> {
    use change::Change;
    match change {
        Change::PutAccount(new) => Some(changed_fields(config.accounts.get(&new.id)?, new)),
        Change::PutModel(new) => Some(changed_fields(config.models.get(&new.id)?, new)),
        Change::PutServer(new) => Some(changed_fields(config.servers.get(&new.id)?, new)),
        Change::PutRoute(new) => Some(changed_fields(config.routes.get(&new.id)?, new)),
        _ => Some(Vec::new()),
    }
}

fn changed_fields<T: Serialize>(old: &T, new: &T) -> Vec<Field> {
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

/// Returns the last change of the same item in the audit log, unless a sheet made it.
fn overwritten_change(
    change: &change::Change,
    audit_log: &[audit::Entry],
) -> Option<OperatorChange> {
    let subject = subject::Subject::from_change(change);
    let is_same = |s: &subject::Subject| s.kind == subject.kind && s.name == subject.name;
    let last = audit_log
        .iter()
        .rev()
        .find(|e| e.subjects.iter().any(is_same))?;
    if last.operation.as_str().starts_with(OPERATION_PREFIX) {
        return None;
    }
    Some(OperatorChange {
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
