//! Medians, least-squares fits and their tables.

use std::hint;
use std::time;

/// The repetitions of each point; the median counts.
const REPETITIONS: usize = 7;

/// One measured point.
pub struct Point {
    pub x: f64,
    pub y: f64,
}

/// Returns the median time of one call, in microseconds, over batches of `calls`.
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

/// Prints a series with its least-squares line.
pub fn print_series(title: &str, x: &str, y: &str, points: &[Point]) {
    println!("\n{title}\n{x:>24} {y:>24}");
    for point in points {
        println!("{:>24} {:>24.3}", point.x, point.y);
    }
    let (slope, intercept) = least_squares(points);
    println!("fit: {slope:.6} x + {intercept:.3}");
}

fn least_squares(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
    let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
