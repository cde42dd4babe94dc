//! A shutdown ends within its bound, whatever its tasks do, and says which ones it waits for.

use std::future;
use std::time::{Duration, Instant};

use buckthorncleat::clock::Millis;
use buckthorncleat::error::Error;
use buckthorncleat::tasks::{Tasks, catch_panic};

const LIMIT: Millis = Millis::new(200);

/// Longer than any test takes unless it hangs.
const HANG_GUARD: Duration = Duration::from_secs(20);

/// Guards against a process that outlives its grace, since a task waits for what nothing wakes.
#[tokio::test]
async fn a_task_that_never_ends_does_not_hold_up_the_end_of_the_process() {
    let mut tasks = Tasks::default();
    tasks.spawn("stuck", future::pending());
    tasks.spawn("sound", async { Ok(()) });
    let begun = Instant::now();
    let result = tokio::time::timeout(HANG_GUARD, tasks.join_all(LIMIT)).await;
    assert!(matches!(result, Ok(Ok(()))), "{result:?}");
    assert!(begun.elapsed() >= LIMIT.as_duration());
    assert_eq!(tasks.running(), ["stuck"]);
}

#[tokio::test]
async fn the_first_error_of_a_task_is_returned_and_the_others_are_joined() {
    let mut tasks = Tasks::default();
    tasks.spawn("failing", async {
        Err(Error::unavailable("gone", Millis::ZERO))
    });
    tasks.spawn("panicking", async { panic!("a fault") });
    tasks.spawn("sound", async { Ok(()) });
    let begun = Instant::now();
    let result = tasks.join_all(Millis::from_secs(60)).await;
    assert!(result.is_err());
    assert!(begun.elapsed() < HANG_GUARD);
    assert!(tasks.running().is_empty());
}

/// Guards against a task that ends with the panic of a library that it calls.
#[tokio::test]
async fn a_panic_of_a_library_is_an_error() {
    let caught = catch_panic(async { panic!("errno {}", 31) }).await;
    let never: Result<(), String> = caught;
    assert_eq!(never, Err("errno 31".to_owned()));
    assert_eq!(catch_panic(async { 5 }).await, Ok(5));
}
