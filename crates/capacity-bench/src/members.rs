//! Three real members of the core on loopback, each a child process with its own settings file and folder,
//! and what the system tells of them.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub const IPS: [&str; 3] = ["127.0.44.1", "127.0.44.2", "127.0.44.3"];
pub const CONTROL: u16 = 18146;
pub const STREAMS: u16 = 17660;
/// Ticks of processor time a second.
const TICKS: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    pub processor_s: f64,
    pub memory_mb: f64,
    pub peak_mb: f64,
    pub threads: u64,
}

pub struct Membership {
    children: Vec<Child>,
    folder: PathBuf,
}

fn settings(i: usize, folder: &Path) -> String {
    let ip = IPS[i];
    let seeds: String = IPS
        .iter()
        .map(|ip| format!("  - \"{ip}:{CONTROL}\"\n"))
        .collect();
    format!(
        "NodeName: \"core-{i}\"\nRole: \"control-plane\"\nMachineClass: \"core\"\nServes:\n  - \"control\"\n  \
         - \"directory\"\nIp: \"{ip}\"\nZone: \"zone-hal00\"\nRegion: \"region-0\"\nZones:\n  zone-hal00: \
         \"region-0\"\nListenAddrs:\n  Control: \"{ip}:{CONTROL}\"\n  Directory: \"{ip}:{}\"\nInternalPorts:\n  - \
         {STREAMS}\n  - {}\nSeedNodes:\n{seeds}Bootstrap: true\nQuorumMember: true\nDataPath: \
         \"{}\"\nBeatIntervalS: 1.5\nFaultTolerance:\n  Machines: 1\nBounds:\n  MaxHoldS: 10\n  DrainS: 3\n  \
         ttl_max_s: 5\n",
        CONTROL + 1,
        STREAMS + 15,
        folder.display()
    )
}

impl Membership {
    /// Starts the program that lies beside this one.
    pub fn start() -> Result<Membership, String> {
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let program = own.with_file_name("lynxmill-control-plane");
        if !program.exists() {
            return Err(
                "lynxmill-control-plane is not built: cargo build --release first".to_owned(),
            );
        }
        let folder =
            std::env::temp_dir().join(format!("capacity-bench-members-{}", std::process::id()));
        let mut members = Membership {
            children: Vec::new(),
            folder: folder.clone(),
        };
        for (i, ip) in IPS.iter().enumerate() {
            let own = folder.join(ip);
            let fault = |e: std::io::Error| format!("{}: {e}", own.display());
            fs::create_dir_all(&own).map_err(fault)?;
            let file = own.join("local.yaml");
            fs::write(&file, settings(i, &own.join("data"))).map_err(fault)?;
            let log = File::create(own.join("log")).map_err(fault)?;
            let child = Command::new(&program)
                .arg("--settings")
                .arg(&file)
                .env_remove("LYNXMILL_NODE_FILE")
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .map_err(|e| e.to_string())?;
            members.children.push(child);
        }
        Ok(members)
    }

    /// What each has used until now; an error if one has ended.
    pub fn used(&mut self) -> Result<Vec<Used>, String> {
        self.children.iter_mut().map(used).collect()
    }

    /// Their last lines, for when something went wrong.
    pub fn logs(&self) -> String {
        let tail = |ip: &&str| {
            let text = fs::read_to_string(self.folder.join(ip).join("log")).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            lines[lines.len().saturating_sub(3)..].join("\n")
        };
        IPS.iter().map(tail).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn used(child: &mut Child) -> Result<Used, String> {
    if let Ok(Some(status)) = child.try_wait() {
        return Err(format!("a member has ended: {status}"));
    }
    let read = |what: &str| {
        let path = format!("/proc/{}/{what}", child.id());
        fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))
    };
    let (stat, status) = (read("stat")?, read("status")?);
    // Fields after the name in brackets: state is the first of them, user time the twelfth, system time
    // behind it.
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map_or("", |(_, rest)| rest)
        .split_whitespace()
        .collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or_default()
    };
    let line = |name: &str| {
        let found = status.lines().find_map(|line| line.strip_prefix(name));
        let number = found
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|n| n.parse::<f64>().ok());
        number.unwrap_or_default()
    };
    Ok(Used {
        processor_s: (ticks(11) + ticks(12)) / TICKS,
        memory_mb: line("VmRSS:") / 1024.0,
        peak_mb: line("VmHWM:") / 1024.0,
        threads: line("Threads:") as u64,
    })
}
