//! Timing of repeated calls, least-squares lines and printed tables.

use std::hint;
use std::time;

/// Batches that are timed for each point; the result is their median.
const REPETITIONS: usize = 7;

pub struct Point {
    pub x: f64,
    pub y: f64,
}

/// Returns the time of one call of `run`, in microseconds: the median over several batches of
/// `calls` calls.
///
/// `make` creates the state for each batch and is not timed. `run` also gets the number of the call
/// in its batch.
pub fn median_micros<S, T>(
    calls: usize,
    make: impl Fn() -> S,
    run: impl Fn(&mut S, usize) -> T,
) -> f64 {
    let mut times: Vec<f64> = (0..REPETITIONS)
        .map(|_| {
            let mut state = make();
            let start = time::Instant::now();
            for call in 0..calls {
                hint::black_box(run(&mut state, call));
            }
            start.elapsed().as_secs_f64() * 1e6 / calls as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[REPETITIONS / 2]
}

/// Prints a table of the points and their least-squares line. `x` and `y` are the column titles.
pub fn print_series(title: &str, x: &str, y: &str, points: &[Point]) {
    println!("\n{title}\n{x:>24} {y:>24}");
    for point in points {
        println!("{:>24} {:>24.3}", point.x, point.y);
    }
    let (slope, intercept) = least_squares(points);
    println!("fit: {slope:.6} x + {intercept:.3}");
}

/// Returns the slope and the intercept of the least-squares line.
fn least_squares(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
    let sum_xx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let slope = sum_xy / sum_xx;
    (slope, mean_y - slope * mean_x)
}
