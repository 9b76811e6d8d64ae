//! Plays worlds of several sizes and writes what came of them: a table in Markdown and two charts, into a folder.

use std::fmt::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use lynxmill_membership::{Config, Identity, KeyRing, SecretKey, TrustStore};
use lynxmill_membership_simulator::World;
use lynxmill_time::TimeDelta;
use plotters::prelude::*;

const SIZES: [usize; 3] = [20, 100, 1000];
const LOSSES: [f64; 4] = [0.0, 0.05, 0.15, 0.30];
/// Seconds in which all may meet, and of each part that is measured.
const MEET: usize = 120;
const CALM: f64 = 20.0;
const DEATH: f64 = 60.0;

/// What came of one size and loss, over seeds.
struct Row {
    size: usize,
    loss: f64,
    worlds: u64,
    met: f64,
    /// Until a death was known to the first, half and all.
    first: f64,
    half: f64,
    all: f64,
    /// Deaths that not all knew of when the time was over.
    missed: u64,
    suspected: f64,
    dead: u64,
    bytes: f64,
    messages: f64,
    most: u64,
    /// Microseconds of one core that an instance takes in a second, signatures left out.
    micros: f64,
}

fn one(size: usize, loss: f64, seeds: u64) -> Row {
    let mut row = Row {
        size,
        loss,
        worlds: seeds,
        met: 0.0,
        first: 0.0,
        half: 0.0,
        all: 0.0,
        missed: 0,
        suspected: 0.0,
        dead: 0,
        bytes: 0.0,
        messages: 0.0,
        most: 0,
        micros: 0.0,
    };
    let part = 1.0 / seeds as f64;
    for seed in 0..seeds {
        let mut world = World::new(size, Config::default(), seed * 7 + size as u64);
        let mut met = MEET;
        for second in 1..=MEET {
            world.run(1.0);
            if (size <= 500 || second % 5 == 0) && world.agree() == size {
                met = second;
                break;
            }
        }
        row.met += met as f64 * part;
        world.run(10.0);
        world.loss = loss;
        world.mistakes = Default::default();
        let before = world.sent();
        let begun = Instant::now();
        world.run(CALM);
        row.micros += begun.elapsed().as_secs_f64() * 1e6 * part / (size as f64 * CALM);
        let after = world.sent();
        let per = part / (size as f64 * CALM);
        row.bytes += (after.0 - before.0) as f64 * per;
        row.messages += (after.1 - before.1) as f64 * per;
        // Suspicions of who lives, for each member and hour.
        row.suspected += world.mistakes.suspected as f64 * per * 3600.0 / size as f64;
        let dies = world.now;
        world.kill(size - 1);
        world.run(DEATH);
        match world.known_after(size - 1, dies) {
            Some((first, half, all)) => {
                row.first += first;
                row.half += half;
                row.all = row.all.max(all);
            }
            None => row.missed += 1,
        }
        row.dead += world.mistakes.dead;
        eprintln!("{size} members, {:.0} % lost, world {seed}", loss * 100.0);
        row.most = row.most.max(world.most_bytes);
    }
    // Of the worlds in which all knew.
    let known = (seeds - row.missed).max(1) as f64;
    (row.first, row.half) = (row.first / known, row.half / known);
    row
}

/// Seconds, where there is anything to tell.
fn secs(of: f64) -> String {
    if of > 0.0 {
        format!("{of:.1} s")
    } else {
        "-".to_owned()
    }
}

/// Of the sizes but the largest, whose minutes take too long: a side of four in ten cut off for a minute; members that die, start again and stall.
fn rough(size: usize, seed: u64) -> String {
    let mut world = World::new(size, Config::default(), seed);
    world.run(60.0);
    world.mistakes = Default::default();
    (0..size * 4 / 10).for_each(|node| world.sides[node] = 1);
    world.run(60.0);
    world.sides.fill(0);
    let mut healed = None;
    for second in 1..=300 {
        world.run(1.0);
        if world.agree() == size {
            healed = Some(second);
            break;
        }
    }
    let parted = world.mistakes.dead;
    world.mistakes = Default::default();
    for turn in 0..20 {
        let node = (turn * 7 + 3) % size;
        match turn % 3 {
            0 => world.kill(node),
            1 => world.stall(node, TimeDelta::from_secs(6.0)),
            _ => {
                let node = ((turn - 2) * 7 + 3) % size;
                world.kill(node);
                world.start(node, 0);
            }
        }
        world.run(3.0);
    }
    world.run(120.0);
    let there = world.living().count();
    let healed = healed.map_or("not in 300 s".to_owned(), |second| format!("{second} s"));
    format!(
        "| {size} | {healed} | {parted} | {} | {} of {there} |\n",
        world.mistakes.dead,
        world.agree()
    )
}

/// Memory of the program, in bytes.
fn resident() -> Result<f64, ArgumentError> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * 4096.0)
}

/// What each member that is known takes in memory, and what a signature costs.
fn costs() -> Result<String, ArgumentError> {
    let before = resident()?;
    let mut world = World::new(400, Config::default(), 1);
    world.run(150.0);
    let known: usize = world.living().map(|(_, of)| of.swim.members().len()).sum();
    let each = (resident()? - before) / known as f64;
    let secret = SecretKey::read(&"07".repeat(32)).map_err(|e| e.to_string())?;
    let mut trust = TrustStore::default();
    trust.add("a", secret.public());
    let (keys, text) = (KeyRing { secret, trust }, [7; 300]);
    let begun = Instant::now();
    let signed: Vec<Vec<u8>> = (0..2000).map(|_| keys.sign(1, &text)).collect();
    let sign = begun.elapsed().as_secs_f64() / 2000.0 * 1e6;
    let begun = Instant::now();
    let held = signed
        .iter()
        .filter(|signed| keys.holds("a", keys.key(), 1, &text, signed))
        .count();
    let hold = begun.elapsed().as_secs_f64() / held.max(1) as f64 * 1e6;
    Ok(format!(
        "\nMemory of an instance for each member that it knows: {each:.0} bytes. To sign 300 bytes takes {sign:.0} µs, to look at \
         a signature {hold:.0} µs.\n"
    ))
}

type ArgumentError = Box<dyn std::error::Error>;

/// One line for each loss, by size, both by powers of ten.
fn chart(
    path: &Path,
    title: &str,
    rows: &[Row],
    of: impl Fn(&Row) -> f64,
) -> Result<(), ArgumentError> {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let values = || rows.iter().map(&of).filter(|value| *value > 0.0);
    let most = values().fold(1.0, f64::max) * 1.3;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(title, ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d((15.0f64..1300.0).log_scale(), 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("members")
        .x_label_formatter(&|size| format!("{size:.0}"))
        .draw()?;
    for (k, loss) in LOSSES.iter().enumerate() {
        let colour = Palette99::pick(k).mix(1.0);
        let points: Vec<(f64, f64)> = rows
            .iter()
            .filter(|row| row.loss == *loss)
            .map(|row| (row.size as f64, of(row)))
            .collect();
        let points: Vec<_> = points
            .into_iter()
            .filter(|(_, value)| *value > 0.0)
            .collect();
        let line = LineSeries::new(points.clone(), colour.stroke_width(2));
        let drawn = chart
            .draw_series(line)?
            .label(format!("{:.0} % lost", loss * 100.0));
        drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart.draw_series(
            points
                .into_iter()
                .map(|point| Circle::new(point, 3, colour.filled())),
        )?;
    }
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.3))
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

fn run(folder: &Path) -> Result<(), ArgumentError> {
    std::fs::create_dir_all(folder)?;
    let seeds = |size: usize| if size > 500 { 1 } else { 5 };
    let (rows, roughs) = std::thread::scope(|scope| {
        let cases = SIZES
            .into_iter()
            .flat_map(|size| LOSSES.map(|loss| (size, loss)));
        let rows: Vec<_> = cases
            .map(|(size, loss)| scope.spawn(move || one(size, loss, seeds(size))))
            .collect();
        let roughs: Vec<_> = SIZES[..2]
            .iter()
            .map(|&size| scope.spawn(move || rough(size, 5)))
            .collect();
        let rows: Vec<Row> = rows.into_iter().filter_map(|row| row.join().ok()).collect();
        (
            rows,
            roughs
                .into_iter()
                .filter_map(|rough| rough.join().ok())
                .collect::<String>(),
        )
    });
    let mut text = String::from(
        "| members | lost | worlds | met after | death known to the first | half | all, at most | not all in 60 s | \
         suspicions of one member an hour by each | living taken for dead | bytes/s each | messages/s each | \
         busiest second | CPU each |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in &rows {
        writeln!(
            text,
            "| {} | {:.0} % | {} | {} | {} | {} | {} | {} | {:.2} | {} | {:.0} | {:.1} | {} | {:.0} µs/s |",
            row.size,
            row.loss * 100.0,
            row.worlds,
            if row.met < MEET as f64 {
                secs(row.met)
            } else {
                format!("not in {MEET} s")
            },
            secs(row.first),
            secs(row.half),
            secs(row.all),
            row.missed,
            row.suspected,
            row.dead,
            row.bytes,
            row.messages,
            row.most,
            row.micros
        )?;
    }
    text.push_str(
        "\n| members | a side of four in ten cut off for 60 s: all agree again after | taken for dead since it was \
         back | while members die, stall and start again: living taken for dead | agree 120 s later |\n\
         |---|---|---|---|---|\n",
    );
    text.push_str(&roughs);
    text.push_str(&costs()?);
    std::fs::write(folder.join("figures.md"), text)?;
    chart(
        &folder.join("death.svg"),
        "seconds until all know of a death",
        &rows,
        |row| row.all,
    )?;
    chart(
        &folder.join("bytes.svg"),
        "bytes a second sent by each",
        &rows,
        |row| row.bytes,
    )
}

fn main() -> ExitCode {
    let Some(folder) = std::env::args_os().nth(1) else {
        eprintln!("lynxmill-membership-sim: name a folder for the table and the charts");
        return ExitCode::from(2);
    };
    match run(Path::new(&folder)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lynxmill-membership-sim: {fault}");
            ExitCode::FAILURE
        }
    }
}
