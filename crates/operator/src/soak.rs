//! `lynxmill system soak`: soaks of real processes, one seed after the other.

use std::path::{Path, PathBuf};

use lynxmill_soak::report::Report;
use lynxmill_soak::settings::{self, Seconds, SoakSettings};
use tokio::runtime::{Builder, Runtime};

/// Threads that clients, tasks and operators share.
const THREADS: usize = 2;

/// What is to be run.
pub(crate) struct SoakOptions {
    pub first_seed: u64,
    pub seeds: u64,
    pub settings: Option<PathBuf>,
    pub seconds: Option<f64>,
    pub programs: Option<PathBuf>,
    pub report: Option<PathBuf>,
    pub keep: bool,
}

fn read_settings(options: &SoakOptions) -> Result<SoakSettings, String> {
    let mut settings = match &options.settings {
        None => SoakSettings::default(),
        Some(path) => {
            let shown = path.display();
            let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
            settings::parse(&text).map_err(|e| format!("{shown}: {e}"))?
        }
    };
    if let Some(seconds) = options.seconds {
        settings.seconds = Seconds::try_from(seconds).map_err(|e| format!("--seconds: {e}"))?;
    }
    Ok(settings)
}

fn programs_folder(named: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(named) = named {
        return Ok(named.to_owned());
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(own.parent().map(Path::to_owned).unwrap_or_default())
}

fn write_reports(path: &Path, reports: &[Report]) -> Result<(), String> {
    let shown = path.display();
    let text = serde_json::to_string_pretty(reports).map_err(|e| format!("{shown}: {e}"))?;
    std::fs::write(path, text).map_err(|e| format!("{shown}: {e}"))
}

/// Runs a seed, or ends it where Ctrl-C or SIGTERM comes; nothing is left running.
fn run_seed(
    runtime: &Runtime,
    settings: &SoakSettings,
    seed: u64,
    programs: &Path,
    keep: bool,
) -> Result<Option<Report>, String> {
    runtime.block_on(async {
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
                .map_err(|e| e.to_string())?;
        tokio::select! {
            report = lynxmill_soak::run(settings, seed, programs, keep) => {
                report.map(Some).map_err(|e| e.to_string())
            }
            _ = tokio::signal::ctrl_c() => Ok(None),
            _ = terminate.recv() => Ok(None),
        }
    })
}

/// Runs all seeds; whether every rule held in all of them.
pub(crate) fn run(options: &SoakOptions) -> Result<bool, String> {
    let settings = read_settings(options)?;
    let programs = programs_folder(options.programs.as_deref())?;
    let mut reports = Vec::new();
    let mut ended_early = false;
    for seed in (options.first_seed..).take(options.seeds as usize) {
        // One runtime a seed: its end also ends what is still under way.
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        let Some(report) = run_seed(&runtime, &settings, seed, &programs, options.keep)? else {
            ended_early = true;
            break;
        };
        print!("{report}");
        reports.push(report);
    }
    if let Some(path) = &options.report {
        write_reports(path, &reports)?;
    }
    let held = reports.iter().filter(|report| report.holds()).count();
    println!("{held} of {} seeds held", reports.len());
    Ok(!ended_early && held == reports.len())
}
