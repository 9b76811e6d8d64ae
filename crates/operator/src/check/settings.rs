//! Errors of a settings file.

use std::net::SocketAddrV4;

use lynxmill_configuration::{Listen, NodeSettings};

use super::{SERVES, one_line};

fn address(name: &str, told: &str) -> Option<String> {
    (!told.is_empty() && told.parse::<SocketAddrV4>().is_err())
        .then(|| format!("{name} is no IPv4 address with a port: {told}"))
}

/// Faults of a settings file.
pub fn settings(text: &str) -> Vec<String> {
    let local: NodeSettings = match serde_yaml_ng::from_str(text) {
        Ok(local) => local,
        Err(error) => return vec![one_line(error)],
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
