//! Instances that have stopped.

use std::sync::Arc;

use crate::{support::eventually, testbed::start};

// Guards against threads of an instance that go on after its handle was dropped: they sent reports to ports that other
// instances had by then, and a fleet of two counted three.
#[test]
fn an_instance_whose_handle_is_dropped_sends_nothing_more() {
    let testbed = start(1);
    let gateway = Arc::clone(testbed.instance.gateway());
    drop(testbed.instance);
    eventually("no thread of the instance is left", || Arc::strong_count(&gateway) == 1);
}
