//! The settings files of the daemons and of the operators' tool, and the planners' sheet.

pub mod check;
pub mod decoder;
pub mod file;
pub mod settings;
pub mod sheet;
