//! End to end: caller, router processes, engines and plain servers, platform.

use std::time::Duration;

use standins::{model::read_events, plain::expected_answer};

use crate::support::{chat, chat_call, fleet, plain_call, send, small, wait_idle};

#[test]
fn a_stream_and_a_plain_response_are_complete_through_every_router() {
    let mut spec = small();
    // Slow enough that tokens arrive separately on a busy machine.
    spec.engine.step = Duration::from_millis(50);
    let fleet = fleet(spec);
    for router in 0..2 {
        let chat = chat(&format!("inventory of router {router}"), 12);
        let response = send(&fleet, router, &chat_call(&chat));
        assert_eq!(
            (response.status, response.whole, response.outcome()),
            (200, true, "run"),
            "{}",
            response.text()
        );
        let events = read_events(&response.text());
        assert_eq!(events.text, chat.expected_answer());
        assert!(events.done && !events.error);
        assert!(
            response.pieces.len() > 6,
            "tokens arrive one by one, not all at once: {:?}",
            response.pieces
        );

        let response = send(&fleet, router, &plain_call("/bookings?day=3", "two vans"));
        assert_eq!(
            (response.status, response.whole, response.outcome()),
            (200, true, "run"),
            "{}",
            response.text()
        );
        assert_eq!(response.text(), expected_answer("POST", "/bookings?day=3", b"two vans"));
    }
}

#[test]
fn a_returning_chat_reuses_its_context_through_another_router() {
    let fleet = fleet(small());
    let chat = chat("a long inventory with a piano", 8);
    let call = chat_call(&chat).with("cartvane-chat", "c1");
    let first =
        read_events(&send(&fleet, 0, &call).text()).usage.expect("the stream ends with its usage");
    wait_idle(&fleet);
    let second =
        read_events(&send(&fleet, 1, &call).text()).usage.expect("the stream ends with its usage");
    assert_eq!(first.cached_tokens, 0);
    assert_eq!(second.cached_tokens, second.prompt_tokens);
}
