//! What a change of configuration would do to what is in force.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

use lynxmill_configuration::{Configuration, ConfigurationChange, Item};
use serde_json::{Map, Value};

use crate::check;
use lynxmill_deployment::client;

/// What a change would do, item by item.
#[derive(Debug, Default, PartialEq)]
pub struct PlacementPlanner {
    /// New items, and items that change, with what changes.
    pub set: Vec<String>,
    pub dropped: Vec<String>,
    /// Named by the change, but it does nothing to them, and why.
    pub left: Vec<String>,
    /// Items that stand and that the change does not name.
    pub untouched: usize,
    /// Why it would be refused whole.
    pub refused: Vec<String>,
}

fn body(item: &Item) -> Map<String, Value> {
    serde_json::from_str(&item.body).unwrap_or_default()
}

/// Fields that differ, as `Name: before -> after`.
fn differences(before: &Item, after: &Item) -> String {
    let (before, after) = (body(before), body(after));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let word = |of: Option<&Value>| of.map_or_else(|| "nothing".to_owned(), Value::to_string);
    let changed = names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name));
    let told = changed.map(|name| {
        format!(
            "{name}: {} -> {}",
            word(before.get(name)),
            word(after.get(name))
        )
    });
    told.collect::<Vec<_>>().join(", ")
}

/// As operators name it: `route NAME`, `service NAME`, `limits`.
fn named(key: &str) -> String {
    match key.split_at_checked(2) {
        Some(("r/", name)) => format!("route {name}"),
        Some(("s/", name)) => format!("service {name}"),
        _ => "limits".to_owned(),
    }
}

/// What stands, from a configuration that is sound.
pub fn read_configuration(value: &Value) -> Result<Configuration, String> {
    let patch =
        ConfigurationChange::read(value.to_string().as_bytes()).map_err(|e| e.to_string())?;
    let mut configuration = Configuration::default();
    for item in &patch.items {
        configuration.merge(item);
    }
    Ok(configuration)
}

/// Sets a change against what stands.
pub fn plan(held: &Configuration, next: &Value) -> PlacementPlanner {
    let mut plan = PlacementPlanner {
        refused: check::faults(held, next),
        ..PlacementPlanner::default()
    };
    let Ok(patch) = ConfigurationChange::read(next.to_string().as_bytes()) else {
        return plan;
    };
    for item in &patch.items {
        let name = named(&item.key);
        let version = item.version;
        match held.items.get(&item.key) {
            Some(old) if old.version > version => {
                plan.left.push(format!(
                    "{name}: version {version:08x} is overtaken by {:08x}",
                    old.version
                ));
            }
            Some(old) if old.version == version => {
                let same = old.body == item.body && old.dropped == item.dropped;
                let reason = if same {
                    "stands as it is"
                } else {
                    "differs, but its version is not higher"
                };
                plan.left
                    .push(format!("{name}: version {version:08x} {reason}"));
            }
            None if item.dropped => plan.left.push(format!("{name}: nothing to drop")),
            _ if item.dropped => plan.dropped.push(format!("{name}: version {version:08x}")),
            Some(old) if !old.dropped => {
                let what = differences(old, item);
                let what = if what.is_empty() {
                    "only the version"
                } else {
                    &what
                };
                plan.set.push(format!(
                    "{name}: version {:08x} -> {version:08x}, {what}",
                    old.version
                ));
            }
            _ => plan.set.push(format!("{name}: new, version {version:08x}")),
        }
    }
    let names: BTreeSet<&String> = patch.items.iter().map(|item| &item.key).collect();
    plan.untouched = held
        .items
        .values()
        .filter(|item| !item.dropped && !names.contains(&item.key))
        .count();
    plan
}

impl PlacementPlanner {
    pub fn render(&self) -> String {
        let mut out = String::new();
        for (word, lines) in [
            ("set  ", &self.set),
            ("drop ", &self.dropped),
            ("leave", &self.left),
        ] {
            for line in lines {
                let _ = writeln!(out, "{word} {line}");
            }
        }
        let _ = writeln!(out, "{} more items stand as they are", self.untouched);
        if self.refused.is_empty() {
            let _ = writeln!(out, "it would be taken");
        }
        for reason in &self.refused {
            let _ = writeln!(out, "it would be refused whole: {reason}");
        }
        out
    }
}

fn read(path: &Path) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    check::call(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Prints the plan; whether the change would be taken.
pub fn run(current: &str, next: &Path) -> Result<bool, String> {
    let file = Path::new(current);
    let held = if file.exists() {
        read(file)?
    } else if current.parse::<std::net::SocketAddr>().is_ok() {
        let answer = client::get(current, "/v1/configuration")?;
        if answer.status != 200 {
            return Err(format!(
                "{current} answers {}: {}",
                answer.status,
                answer.body.trim()
            ));
        }
        println!(
            "(an address tells what stands; versions of items dropped before are not compared)"
        );
        check::call(&answer.body)?
    } else {
        return Err(format!(
            "{current} is neither a file nor an address with a port"
        ));
    };
    let held = read_configuration(&held).map_err(|e| format!("{current}: {e}"))?;
    let plan = plan(&held, &read(next)?);
    print!("{}", plan.render());
    Ok(plan.refused.is_empty())
}
