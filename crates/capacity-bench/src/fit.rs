//! Series of measures over sizes, and the line through them (least squares).

use rustix::time::{ClockId, clock_gettime};

/// What was measured at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub size: f64,
    pub runs: usize,
    pub min: f64,
    pub median: f64,
    pub mean: f64,
    pub max: f64,
}

impl Point {
    pub fn of(size: usize, mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let runs = values.len();
        let middle = (values[(runs - 1) / 2] + values[runs / 2]) / 2.0;
        let mean = values.iter().sum::<f64>() / runs as f64;
        Point {
            size: size as f64,
            runs,
            min: values[0],
            median: middle,
            mean,
            max: values[runs - 1],
        }
    }

    pub fn exact(size: usize, value: usize) -> Self {
        Point::of(size, vec![value as f64])
    }
}

/// The line through the medians: what stands at size 0, what each more costs, and how much of the spread it
/// tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    pub r2: f64,
}

pub fn line(points: &[Point]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.median).sum::<f64>() / count;
    let xx: f64 = points.iter().map(|p| (p.size - mean_x).powi(2)).sum();
    let xy: f64 = points
        .iter()
        .map(|p| (p.size - mean_x) * (p.median - mean_y))
        .sum();
    let yy: f64 = points.iter().map(|p| (p.median - mean_y).powi(2)).sum();
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let r2 = if xx > 0.0 && yy > 0.0 {
        xy * xy / (xx * yy)
    } else {
        1.0
    };
    Line {
        base: mean_y - slope * mean_x,
        slope,
        r2,
    }
}

/// Processor time of this thread in microseconds: what else runs on the machine hardly counts.
pub fn processor_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Microseconds of processor time of each run; a run is `batch` calls, of which the mean is taken.
pub fn time(runs: usize, batch: usize, mut work: impl FnMut()) -> Vec<f64> {
    let once = |work: &mut dyn FnMut()| {
        let begun = processor_us();
        (0..batch).for_each(|_| work());
        (processor_us() - begun) / batch as f64
    };
    once(&mut work);
    (0..runs).map(|_| once(&mut work)).collect()
}

/// Prints a series: its sizes and, from two of them on, the line.
pub fn show(what: &str, unit: &str, per: &str, points: &[Point]) {
    for p in points {
        println!(
            "{what:<34} {:>6} {per:<8} n={:<4} min {:>11.3} median {:>11.3} mean {:>11.3} max {:>11.3} {unit}",
            p.size, p.runs, p.min, p.median, p.mean, p.max
        );
    }
    if points.len() > 1 {
        let Line { base, slope, r2 } = line(points);
        println!("{what:<34} line: {base:.3} {unit} + {slope:.5} {unit} a {per}, r2 {r2:.3}");
    }
}
