use super::*;

#[test]
fn a_line_is_found_again_and_a_square_shows_in_power_and_residual() {
    let straight: Vec<(f64, f64)> =
        [10.0, 30.0, 100.0, 300.0].iter().map(|size| (*size, 4.0 + 0.5 * size)).collect();
    let straight_fit = fit(&straight).expect("four sizes");
    assert!((straight_fit.base - 4.0).abs() < 1e-9 && (straight_fit.slope - 0.5).abs() < 1e-9);
    assert!(straight_fit.residual < 1e-9);
    let square: Vec<(f64, f64)> =
        [10.0, 30.0, 100.0, 300.0].iter().map(|size| (*size, size * size)).collect();
    let square_fit = fit(&square).expect("four sizes");
    assert!((square_fit.power - 2.0).abs() < 1e-9 && square_fit.residual > 0.1);
    assert_eq!(fit(&[(1.0, 1.0)]), None);
    assert_eq!(fit(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
