//! Settings as typed records. A schema says of each field its type, bounds, unit, default and alternatives; files are
//! written in the same notation, of which JSON is a part. What is wrong in a file is told at once, all of it, by line
//! and column. Nothing here reads a file or knows what the settings are for.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(clippy::too_many_lines, missing_docs)]

mod check;
mod compare;
mod export;
mod fault;
mod parse;
mod plain;
mod schema;
mod show;
mod syntax;

pub use check::Checked;
pub use compare::{Difference, compare};
pub use fault::{Position, SettingsError, position, render};
pub use schema::Schema;

/// The schema of `lynxmilld`'s file.
///
/// # Panics
/// Never: a test compiles it.
pub fn daemon() -> &'static Schema {
    static SCHEMA: std::sync::OnceLock<Schema> = std::sync::OnceLock::new();
    SCHEMA.get_or_init(|| {
        Schema::read(DAEMON)
            .unwrap_or_else(|faults| panic!("{}", render("lynxmilld.types", DAEMON, &faults)))
    })
}

/// The schema of `lynxforward`'s file.
///
/// # Panics
/// Never: a test compiles it.
pub fn forwarder() -> &'static Schema {
    static SCHEMA: std::sync::OnceLock<Schema> = std::sync::OnceLock::new();
    SCHEMA.get_or_init(|| {
        Schema::read(FORWARDER)
            .unwrap_or_else(|faults| panic!("{}", render("lynxforward.types", FORWARDER, &faults)))
    })
}

/// Their texts.
pub const FORWARDER: &str = include_str!("../schema/lynxforward.types");
pub const DAEMON: &str = include_str!("../schema/lynxmilld.types");
