//! Errors of a deploy file.

use std::collections::BTreeMap;

use super::{SERVES, one_line};

/// Keys of the file.
const KEYS: [&str; 3] = ["build", "packages", "roles"];
/// Keys of a role.
const ROLE_KEYS: [&str; 6] = ["run", "on", "share", "count", "apart", "serves"];
/// A program is started by itself, without these in front.
const HELPERS: [&str; 5] = ["sh", "bash", "dash", "env", "npx"];
/// Roles on one machine.
const ROLES_AT_MOST: usize = 2;

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

/// Errors of the Debian packages that a build needs.
fn package_errors(file: &toml::Table) -> Option<String> {
    let packages = file.get("packages")?;
    let is_list_of_names = packages.as_array().is_some_and(|list| {
        list.iter()
            .all(|name| name.as_str().is_some_and(|name| !name.trim().is_empty()))
    });
    (!is_list_of_names).then(|| "packages is not a list of names".to_owned())
}

/// Errors of a deploy file.
pub fn deploy(text: &str) -> Vec<String> {
    let file: toml::Table = match toml::from_str(text) {
        Ok(file) => file,
        Err(error) => return vec![one_line(error)],
    };
    let mut faults = Vec::new();
    for key in file.keys().filter(|key| !KEYS.contains(&key.as_str())) {
        faults.push(format!("{key} is not known"));
    }
    faults.extend(package_errors(&file));
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
