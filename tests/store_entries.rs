//! Entries of the own interface's store, whatever their names and values are.

use sorrelwick::errors::Code;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;

/// Guards against a change to another service than the one named, since a name in a path is read as
/// part of its syntax.
#[tokio::test(flavor = "multi_thread")]
async fn change_of_an_unknown_name_changes_no_other_service() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let service = bed.create_service("orders").await;
    let mut operator = bed.operator(0);
    for odd in ["?x", "#x", "&x", "%", "%2e", " ", "/../orders", "\n", "\u{e9}"] {
        let name = format!("orders{odd}");
        let drained = operator.set_drain(&name, "b0", true).await.expect_err(odd);
        assert_eq!(drained.code, Code::NotFound, "{odd:?}");
        let deleted = operator.delete(&name, 1).await.expect_err(odd);
        assert_eq!(deleted.code, Code::Conflict, "{odd:?}");
    }
    // The next change is the second one, and none was made meanwhile.
    assert_eq!(bed.put_service(0, &service, 1).await.expect("accepted"), 2);
}
