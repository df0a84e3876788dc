use super::LineBudget;

#[test]
fn take_is_refused_once_the_lines_are_used_up() {
    let budget = LineBudget::new(2);
    assert_eq!([(); 4].map(|()| budget.take()), [true, true, false, false]);
}
