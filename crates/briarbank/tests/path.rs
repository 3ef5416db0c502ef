//! Calls from caller to server through separate processes.

mod fleet;

use fleet::{Call, Fleet, Size};
use http::StatusCode;

#[tokio::test]
async fn streams_an_answer_completely_and_in_order() {
    let fleet = Fleet::start(Size::default()).await;
    let call = Call::stream("which lenses fit?", 200);
    let answer = fleet.caller(0).send(&call).await.expect("an answer");
    assert!(answer.assert_stream_of("which lenses fit?") > 0);
}

#[tokio::test]
async fn runs_a_slip_once_through_any_node() {
    let fleet = Fleet::start(Size::default()).await;
    // Enough ids that each node owns some; each id is sent to both.
    for number in 0..16 {
        let (call, first) = fleet.caller(number % 2).send_slip_until_served().await;
        assert_eq!(first.outcome.as_deref(), Some("completed"));
        assert_eq!(first.json()["request_id"], call.id());
        let other = fleet.caller((number + 1) % 2);
        assert_eq!(other.retry_until_served(&call).await.text, first.text);
        assert_eq!(fleet.runs(call.id()).await, 1);
    }
}

#[tokio::test]
async fn operator_port_serves_metrics_and_requires_the_key() {
    let fleet = Fleet::start(Size {
        nodes: 1,
        services: 0,
        ..Size::default()
    })
    .await;
    let node = &fleet.nodes[0];
    let answer = fleet.caller(0).send(&Call::stream("measured", 50)).await;
    let tokens = answer.expect("an answer").assert_stream_of("measured");
    assert!(tokens > 0);
    let in_time = node.metric("briarbank_answers_in_time_total").await;
    assert!((in_time - 1.0).abs() < f64::EPSILON, "{in_time}");
    let first = node.metric("briarbank_first_token_seconds_count").await;
    assert!((first - 1.0).abs() < f64::EPSILON, "{first}");
    for path in ["/metrics", "/dump"] {
        assert_eq!(
            node.status_with_wrong_key(path).await,
            StatusCode::UNAUTHORIZED
        );
    }
    assert_eq!(node.status_with_wrong_key("/live").await, StatusCode::OK);
    assert_eq!(node.status_with_wrong_key("/ready").await, StatusCode::OK);
}
