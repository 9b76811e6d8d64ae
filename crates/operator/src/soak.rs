//! `lynxmill system soak`: soaks of real processes, one seed after the other.

use std::path::{Path, PathBuf};

use lynxmill_soak::report::Report;
use lynxmill_soak::settings::{self, Seconds, SoakSettings};
use lynxmill_soak::{Find, SoakError, plot};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

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
    pub plots: Option<PathBuf>,
    pub keep: bool,
    pub shrink: bool,
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

/// Waits for a soak, unless Ctrl-C or SIGTERM comes first; nothing is left running then.
fn until_interrupted<T>(
    runtime: &Runtime,
    soak: impl Future<Output = Result<T, SoakError>>,
) -> Result<Option<T>, String> {
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        tokio::select! {
            done = soak => done.map(Some).map_err(|e| e.to_string()),
            _ = tokio::signal::ctrl_c() => Ok(None),
            _ = terminate.recv() => Ok(None),
        }
    })
}

fn draw(folder: &Path, report: &Report) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let path = folder.join(format!("seed-{}.svg", report.seed));
    plot::draw(report, &path).map_err(|e| format!("{}: {e}", path.display()))
}

fn show_shortest(runtime: &Runtime, find: &Find<'_>, report: &Report) -> Result<(), String> {
    let progress = |schedule: &[_]| eprintln!("{} disruptions are enough", schedule.len());
    let shrinking = lynxmill_soak::shrink(find, &report.schedule, progress);
    let Some(shortest) = until_interrupted(runtime, shrinking)? else {
        return Ok(());
    };
    println!(
        "the shortest schedule found in which most runs break {:?}:",
        find.rule
    );
    for planned in shortest {
        println!("  {:8.3} s  {}", planned.at_s, planned.disruption);
    }
    Ok(())
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
        let soak = lynxmill_soak::run(&settings, seed, &programs, options.keep);
        let Some(report) = until_interrupted(&runtime, soak)? else {
            ended_early = true;
            break;
        };
        print!("{report}");
        if let Some(folder) = &options.plots {
            draw(folder, &report)?;
        }
        let first_rule = report.violations.first().map(|violation| violation.rule);
        if let (true, Some(rule)) = (options.shrink, first_rule) {
            let find = Find {
                settings: &settings,
                seed,
                rule,
                programs: &programs,
            };
            show_shortest(&runtime, &find, &report)?;
            reports.push(report);
            break;
        }
        reports.push(report);
    }
    if let Some(path) = &options.report {
        write_reports(path, &reports)?;
    }
    let held = reports.iter().filter(|report| report.holds()).count();
    println!("{held} of {} seeds held", reports.len());
    Ok(!ended_early && held == reports.len())
}
