//! The line and the middle of a series.

use lynxmill_capacity_bench::fit::{Point, line};

#[test]
fn the_line_through_points_on_a_line_is_that_line() {
    let points: Vec<Point> = [12, 60, 735].map(|n| Point::exact(n, 40 + 3 * n)).to_vec();
    let line = line(&points);
    assert!(
        (line.base - 40.0).abs() < 1e-6 && (line.slope - 3.0).abs() < 1e-9 && line.r2 > 0.999_999
    );
}

#[test]
fn the_middle_of_an_even_count_lies_between_the_two_in_the_middle() {
    let point = Point::of(1, vec![9.0, 1.0, 2.0, 4.0]);
    assert_eq!(
        (point.min, point.median, point.max, point.mean),
        (1.0, 3.0, 9.0, 4.0)
    );
    assert_eq!(Point::of(1, vec![5.0, 1.0, 2.0]).median, 2.0);
}

#[test]
fn one_size_or_equal_values_have_no_slope() {
    assert_eq!(line(&[Point::exact(5, 7)]).slope, 0.0);
    assert_eq!(line(&[Point::exact(5, 7), Point::exact(9, 7)]).slope, 0.0);
}
