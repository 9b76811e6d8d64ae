//! A started `lynxmilld` in drive mode, for plays over loopback; it ends with this program.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::end::{CliError, other};

pub(crate) struct Assigner {
    child: Child,
    config: PathBuf,
    pub at: SocketAddr,
}

impl Assigner {
    /// Starts the program at `path`, or the one beside this program.
    pub(crate) fn start(path: Option<&Path>) -> Result<Self, CliError> {
        let beside = || {
            std::env::current_exe()
                .ok()
                .and_then(|me| Some(me.parent()?.join("lynxmilld")))
        };
        let path = path.map(Path::to_owned).or_else(beside);
        let path =
            path.ok_or_else(|| other("no lynxmilld beside this program, name it with --assigner"))?;
        let config =
            std::env::temp_dir().join(format!("lynxmill-drive-{}.json", std::process::id()));
        std::fs::write(&config, "{\"drive\":\"127.0.0.1:0\"}").map_err(other)?;
        let mut command = Command::new(&path);
        command.env_remove("RUST_LOG").env("PROXY_CONFIG", &config);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(|e| other(format!("{}: {e}", path.display())))?;
        let mut line = String::new();
        if let Some(log) = child.stderr.take() {
            BufReader::new(log).read_line(&mut line).map_err(other)?;
        }
        let at = line
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok());
        let mut assigner = Assigner {
            child,
            config,
            at: ([127, 0, 0, 1], 0).into(),
        };
        assigner.at = at.ok_or_else(|| other(format!("{}: {}", path.display(), line.trim())))?;
        Ok(assigner)
    }
}

impl Drop for Assigner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
