//! Least-squares fit of lines.

/// A line through measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// Largest distance of a point from the line, as a fraction of the largest value.
    pub(crate) residual_ratio: f64,
}

/// Fits a line to points.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let distance = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
    let largest = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    Line {
        base,
        slope,
        residual_ratio: residual / largest,
    }
}

/// Prints a fitted line.
pub(crate) fn print(name: &str, unit: &str, points: &[(f64, f64)]) {
    let fitted = fit_line(points);
    println!(
        "fit of {name}: {:.4} + {:.6} * n {unit}, residual at most {:.1} % of the largest\n",
        fitted.base,
        fitted.slope,
        100.0 * fitted.residual_ratio
    );
}
