/// A straight line through measured points, by least squares, and the power by which they grow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// What is there at size zero.
    pub base: f64,
    /// What each unit of size adds.
    pub slope: f64,
    /// Root of the mean square of (measured - line), as a share of the mean measured value.
    pub residual: f64,
    /// The power of size by which the values grow, from the logarithms; 1 is in proportion.
    pub power: f64,
}

/// Fits a line to (size, value) points; `None` with fewer than two sizes.
/// Example: `fit(&[(1.0, 3.0), (2.0, 5.0)]).unwrap().slope == 2.0`.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (base, slope) = line(points)?;
    let mean = points.iter().map(|(_, value)| value).sum::<f64>() / points.len() as f64;
    let square_sum: f64 = points.iter().map(|(size, value)| (value - base - slope * size).powi(2)).sum();
    let residual = match mean == 0.0 {
        true => 0.0,
        false => (square_sum / points.len() as f64).sqrt() / mean.abs(),
    };
    let logarithms: Vec<(f64, f64)> = points
        .iter()
        .filter(|(size, value)| *size > 0.0 && *value > 0.0)
        .map(|(size, value)| (size.ln(), value.ln()))
        .collect();
    let power = line(&logarithms).map_or(f64::NAN, |(_, power)| power);
    Some(Fit { base, slope, residual, power })
}

fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let size_mean = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let value_mean = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(size, _)| (size - size_mean).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let product: f64 = points.iter().map(|(size, value)| (size - size_mean) * (value - value_mean)).sum();
    let slope = product / spread;
    Some((value_mean - slope * size_mean, slope))
}

#[cfg(test)]
mod tests;
