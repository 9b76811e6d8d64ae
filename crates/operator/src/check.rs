//! Every fault of a file, one line each. The configuration's are those that a control-plane node refuses by.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::path::Path;

use lynxmill_configuration::{
    Configuration, ConfigurationChange, Listen, NodeSettings, ValidationError,
};
use serde_json::{Map, Value};

/// What a role may serve.
const SERVES: [&str; 3] = ["edge", "control", "directory"];
const ROLE_KEYS: [&str; 6] = ["run", "on", "share", "count", "apart", "serves"];
/// A program is started by itself, without these in front.
const HELPERS: [&str; 5] = ["sh", "bash", "dash", "env", "npx"];
/// Roles on one machine.
const ROLES_AT_MOST: usize = 2;

/// A file's faults, by what its name ends in.
pub fn file(path: &Path) -> Vec<String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(fault) => return vec![fault.to_string()],
    };
    match path.extension().and_then(|e| e.to_str()) {
        Some("toml") => deploy(&text),
        Some("yaml" | "yml") => settings(&text),
        Some("json") => configuration(&text),
        _ => vec!["neither .toml (deploy), .yaml (settings) nor .json (configuration)".to_owned()],
    }
}

// --- the deploy file ---

fn one_line(fault: impl ToString) -> String {
    fault
        .to_string()
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}

/// Faults of a role by itself; what it serves, where, and whether from the end of the machines.
fn role(name: &str, role: &toml::Table, faults: &mut Vec<String>) -> (Vec<String>, String, bool) {
    let mut say = |what: String| faults.push(format!("role {name}: {what}"));
    for key in role.keys().filter(|key| !ROLE_KEYS.contains(&key.as_str())) {
        say(format!("{key} is not known"));
    }
    let words = |key: &str| {
        role.get(key)
            .and_then(toml::Value::as_str)
            .unwrap_or_default()
    };
    let program = words("run").split_whitespace().next().unwrap_or_default();
    let called = program.rsplit('/').next().unwrap_or_default();
    if program.is_empty() {
        say("run names no program".to_owned());
    } else if HELPERS.contains(&called) {
        say(format!(
            "run uses the helper {called}; a program is started by itself"
        ));
    }
    if words("on").is_empty() {
        say("on names no class of machines".to_owned());
    }
    match (role.get("share"), role.get("count")) {
        (None, None) => say("neither share nor count is given".to_owned()),
        (Some(_), Some(_)) => say("both share and count are given".to_owned()),
        (Some(share), None) => {
            let share = share
                .as_float()
                .or_else(|| share.as_integer().map(|whole| whole as f64));
            if !share.is_some_and(|share| share > 0.0 && share <= 1.0) {
                say("share is not over 0 and up to 1".to_owned());
            }
        }
        (None, Some(count)) => {
            if count.as_integer().is_none_or(|count| count < 1) {
                say("count is no whole number above 0".to_owned());
            }
        }
    }
    let apart = role.get("apart").map_or(Some(false), toml::Value::as_bool);
    if apart.is_none() {
        say("apart is neither true nor false".to_owned());
    }
    let mut serves = Vec::new();
    match role.get("serves").map(toml::Value::as_array) {
        None => {}
        Some(None) => say("serves is not a list".to_owned()),
        Some(Some(list)) => {
            for what in list {
                let what = what.as_str().unwrap_or("what is no word");
                match SERVES.contains(&what) {
                    true => serves.push(what.to_owned()),
                    false => say(format!(
                        "serves {what}, which is none of {}",
                        SERVES.join(", ")
                    )),
                }
            }
        }
    }
    (serves, words("on").to_owned(), apart.unwrap_or(false))
}

/// Faults of a deploy file.
pub fn deploy(text: &str) -> Vec<String> {
    let file: toml::Table = match toml::from_str(text) {
        Ok(file) => file,
        Err(fault) => return vec![one_line(fault)],
    };
    let mut faults = Vec::new();
    for key in file
        .keys()
        .filter(|key| !["build", "roles"].contains(&key.as_str()))
    {
        faults.push(format!("{key} is not known"));
    }
    if file
        .get("build")
        .and_then(toml::Value::as_str)
        .is_none_or(|build| build.trim().is_empty())
    {
        faults.push("build is missing or empty".to_owned());
    }
    let none = toml::Table::new();
    let roles = file
        .get("roles")
        .and_then(toml::Value::as_table)
        .unwrap_or(&none);
    let mut served: BTreeMap<(String, String), String> = BTreeMap::new();
    let mut on: BTreeMap<(String, bool), usize> = BTreeMap::new();
    for (name, value) in roles {
        let Some(table) = value.as_table() else {
            faults.push(format!("role {name}: not a table"));
            continue;
        };
        let (serves, class, apart) = role(name, table, &mut faults);
        *on.entry((class.clone(), apart)).or_default() += 1;
        for what in serves {
            if let Some(other) = served.insert((class.clone(), what.clone()), name.clone()) {
                faults.push(format!(
                    "roles {other} and {name} both serve {what} on {class}"
                ));
            }
        }
    }
    for ((class, _), roles) in on.iter().filter(|(_, roles)| **roles > ROLES_AT_MOST) {
        faults.push(format!(
            "{roles} roles meet on a machine of {class}, which runs {ROLES_AT_MOST} at most"
        ));
    }
    for what in SERVES
        .iter()
        .filter(|what| !served.keys().any(|(_, served)| served == *what))
    {
        faults.push(format!("no role serves {what}"));
    }
    faults
}

// --- the settings file ---

fn address(name: &str, told: &str) -> Option<String> {
    (!told.is_empty() && told.parse::<SocketAddrV4>().is_err())
        .then(|| format!("{name} is no IPv4 address with a port: {told}"))
}

/// Faults of a settings file.
pub fn settings(text: &str) -> Vec<String> {
    let local: NodeSettings = match serde_yaml_ng::from_str(text) {
        Ok(local) => local,
        Err(fault) => return vec![one_line(fault)],
    };
    let mut faults: Vec<String> = local.errors().into_iter().map(str::to_owned).collect();
    let Listen {
        front,
        readiness,
        control,
        directory,
    } = local.listen();
    faults.extend(address("ListenAddrs.Front", &front));
    faults.extend(address("ListenAddrs.Readiness", &readiness));
    faults.extend(address("ListenAddrs.Control", &control));
    faults.extend(address("ListenAddrs.Directory", &directory));
    faults.extend(
        local
            .seed_nodes
            .iter()
            .filter_map(|seed| address("SeedNodes", seed)),
    );
    let serves = |what: &str| local.serves.iter().any(|s| s == what);
    if (serves("control") || serves("directory"))
        && local.data_path.as_deref().is_none_or(str::is_empty)
    {
        faults.push("DataPath is missing: the control state needs a disk".to_owned());
    }
    if let [first, rest @ ..] = local.internal_ports.as_slice() {
        let last = rest.last().copied().unwrap_or(*first);
        if *first == 0 || last > u32::from(u16::MAX) {
            faults.push("InternalPorts are not between 1 and 65535".to_owned());
        }
        if last <= *first {
            faults.push(
                "InternalPorts leave fewer than the two ports that members listen on".to_owned(),
            );
        }
    }
    for what in local
        .serves
        .iter()
        .filter(|what| !SERVES.contains(&what.as_str()))
    {
        faults.push(format!(
            "Serves {what}, which is none of {}",
            SERVES.join(", ")
        ));
    }
    faults
}

// --- the configuration ---

/// A call's body from a call, or from a configuration laid out as it is read back.
pub fn call(text: &str) -> Result<Value, String> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| ValidationError::Unreadable(e.to_string()).to_string())?;
    let Some(whole) = value.as_object() else {
        return Err(ValidationError::Unreadable("it is not an object".to_owned()).to_string());
    };
    let laid_out = ["Routes", "Services", "Limits"]
        .iter()
        .any(|key| whole.contains_key(*key));
    Ok(if laid_out {
        serde_json::json!({ "Upsert": value })
    } else {
        value
    })
}

/// Each item as a call of its own; what is no list of items stays together.
fn alone(value: &Value) -> Vec<Value> {
    let mut calls = Vec::new();
    for part in ["Upsert", "Remove"] {
        let Some(lists) = value.get(part) else {
            continue;
        };
        let Some(lists) = lists.as_object() else {
            calls.push(serde_json::json!({ part: lists }));
            continue;
        };
        for (list, rows) in lists {
            match rows {
                Value::Array(rows) => {
                    calls.extend(
                        rows.iter()
                            .map(|row| serde_json::json!({ part: { list: [row] } })),
                    );
                }
                other => calls.push(serde_json::json!({ part: { list: other } })),
            }
        }
    }
    calls
}

/// All that is wrong with a call after what is held: items by themselves, then those that don't go together.
pub fn faults(held: &Configuration, value: &Value) -> Vec<String> {
    let none = Map::new();
    let mut faults = Vec::new();
    let known = ["Upsert", "Remove"];
    for key in value
        .as_object()
        .unwrap_or(&none)
        .keys()
        .filter(|key| !known.contains(&key.as_str()))
    {
        faults.push(format!("{key} is not known"));
    }
    let mut sound = ConfigurationChange::default();
    for call in alone(value) {
        match ConfigurationChange::read(call.to_string().as_bytes()) {
            Ok(patch) => sound.items.extend(patch.items),
            Err(fault) => faults.push(fault.to_string()),
        }
    }
    let mut names = BTreeSet::new();
    for item in &sound.items {
        if !names.insert(item.key.clone()) {
            faults.push(format!("{} stands more than once", item.key));
        }
    }
    // A route that is told of is left out, so that the next fault shows.
    let mut held = held.clone();
    while let Err(fault) = held.check(&sound) {
        faults.push(fault.to_string());
        let (ValidationError::UnknownService(route, _) | ValidationError::DuplicateRoute(_, route)) =
            fault
        else {
            break;
        };
        let key = format!("r/{route}");
        sound.items.retain(|item| item.key != key);
        held.items.remove(&key);
    }
    faults
}

/// Faults of a configuration as the first of a system.
pub fn configuration(text: &str) -> Vec<String> {
    match call(text) {
        Ok(value) => faults(&Configuration::default(), &value),
        Err(fault) => vec![fault],
    }
}
