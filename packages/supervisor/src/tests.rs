use super::*;
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn failing_child_is_restarted_up_to_the_limit_and_then_fails_the_supervisor() {
    let restart_policy =
        RestartPolicy { restarts: 3, within: Duration::from_secs(60), pause: Duration::ZERO };
    let starts = Rc::new(Cell::new(0));
    let counted_starts = starts.clone();
    let supervisor = Supervisor::new("root", restart_policy)
        .child("steady", || async {
            std::future::pending::<()>().await;
            Ok(())
        })
        .child("broken", move || {
            counted_starts.set(counted_starts.get() + 1);
            async { panic!("a broken invariant") }
        });
    let ended = actix_rt::System::new().block_on(supervisor.run());
    assert_eq!(ended.expect_err("the supervisor fails").current_context().0, "root/broken");
    assert_eq!(starts.get(), 4);
}
