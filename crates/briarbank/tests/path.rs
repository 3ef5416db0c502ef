//! The whole path through separate processes.

mod fleet;

use fleet::{Call, Fleet, Size};
use http::StatusCode;

#[tokio::test]
async fn streams_an_answer_whole_and_in_order() {
    let fleet = Fleet::start(Size::default()).await;
    let call = Call::stream("which lenses fit?", 200);
    let answer = fleet.caller(0).send(&call).await.expect("an answer");
    assert!(answer.assert_stream_of("which lenses fit?") > 0);
}

#[tokio::test]
async fn runs_a_slip_once_through_whichever_node() {
    let fleet = Fleet::start(Size::default()).await;
    // Enough ids that both nodes own some; each is asked for at both.
    for number in 0..16 {
        let call = Call::slip();
        let first = fleet.caller(number % 2).send(&call).await;
        let first = first.expect("an answer");
        assert_eq!(first.status, StatusCode::OK, "{}", first.text);
        assert_eq!(first.outcome.as_deref(), Some("completed"));
        assert_eq!(first.json()["request_id"], call.id());
        let second = fleet.caller((number + 1) % 2).send(&call.again()).await;
        assert_eq!(second.expect("an answer").text, first.text);
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
}
