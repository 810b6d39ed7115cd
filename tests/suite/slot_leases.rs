//! Slot leases of small services: each failure of the broker, of the holder of a lease and of a server.

use std::{
    net::TcpListener,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    configs::fleet::chunks::encode,
    gateway::slot_leases::messages::{Acquire, FromBroker, HeldLease, ToBroker},
    names::Tag,
    routing::LeaseId,
    utils::sync::lock,
};
use standins::{fault::Fault, mute::MutableLink};

use crate::{
    log_lines,
    slot_leases_site::{
        DELAY_MAX, Holder, SLACK, ScriptedBroker, Site, acquire, arrivals, count_of, entry, timed,
        wait_until_known, wait_until_leased,
    },
    support::eventually,
    suspended::AdvancingClock,
    testbed::{call, port},
};

/// Returns the size of a message in bytes, without the framing of the stream.
fn size(message: &impl serde::Serialize) -> usize {
    encode(message).len()
}

fn queue(message: &ToBroker) -> Vec<FromBroker> {
    let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
    vec![FromBroker::Queued { id: request.id }]
}

fn grant(message: &ToBroker, server: &str) -> Vec<FromBroker> {
    let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
    vec![FromBroker::Granted { id: request.id, server: Tag::of(server), waited: Duration::ZERO }]
}

// Guards against instances that send to the same free slot: a slot runs one request after the other.
#[test]
fn a_slot_serves_one_request_at_a_time_and_the_rest_gets_a_retry_time() {
    const RUN: Duration = Duration::from_millis(30);
    let site = Site::start(1);
    let fleet = site.fleet(3);
    site.servers[0].faults.set_standing(Some(Fault::Late(RUN)));
    let (before, started) = (arrivals(&site.servers[0]), Instant::now());
    let senders: Vec<_> = fleet
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let callers = instance.callers();
            thread::spawn(move || {
                let send = |i| call("/idem/", &format!("{number}-{i}")).send(callers);
                let answers = (0..25).map(send);
                answers.map(|a| (a.status, a.header("retry-after").to_owned())).collect::<Vec<_>>()
            })
        })
        .collect();
    let answers: Vec<(u16, String)> =
        senders.into_iter().flat_map(|sender| sender.join().expect("all are answered")).collect();
    let runs = arrivals(&site.servers[0]) - before;
    let most = started.elapsed().as_millis() / RUN.as_millis() + 1;
    assert!(runs as u128 <= most, "{runs} runs, {most} fit into the slot");
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    assert!(
        served > 0 && answers.iter().all(|(s, retry)| *s == 200 || *s == 503 && !retry.is_empty())
    );
    assert_eq!(served, runs, "a request that was sent was answered");
}

// Guards against a refusal without the promise of the broker, or one after which the instance decides again.
#[test]
fn a_rejected_request_gets_the_retry_after_of_the_broker() {
    let site = Site::start(1);
    let broker = ScriptedBroker::spawn(|message| {
        let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
        let retry_after = Duration::from_millis(370);
        vec![FromBroker::Rejected { id: request.id, retry_after, queue: 7 }]
    });
    site.list_broker("rejecting", broker.listener.address());
    let instance = site.single(&Clock::system());
    let answer = call("/idem/", "a").send(instance.callers());
    let retry_after: f64 = answer.header("retry-after").parse().expect("seconds");
    assert_eq!((answer.status, retry_after), (503, 0.37));
    assert_eq!(arrivals(&site.servers[0]), 0);
    let line = log_lines::matching(&["event=slot_rejected request=a"]);
    assert!(line.contains("queue=7 retry_after_ms=370 broker=rejecting"), "{line}");
}

// Guards against a request that waits for a process that has ended.
#[test]
fn a_broker_that_is_gone_is_replaced_by_the_next_in_rank_at_once() {
    let site = Site::start(1);
    // Nothing listens on port 1.
    site.list_broker("gone", port(1));
    let instance = site.single(&Clock::system());
    let (status, took) = timed(&instance, "a");
    assert_eq!(status, 200);
    assert!(took < DELAY_MAX + SLACK, "{took:?}");
    assert_eq!(count_of(&instance, "granted"), 1, "by the instance itself, the next in rank");
}

// Guards against a partitioned broker that delays each request, or one request for longer than 60 ms.
#[test]
fn a_broker_that_says_nothing_delays_a_request_by_60_ms_and_is_skipped_for_2_s() {
    let site = Site::start(1);
    let mute = TcpListener::bind(port(0)).expect("a listener");
    site.list_broker("mute", mute.local_addr().expect("an address"));
    let instance = site.single(&Clock::system());
    let (started, mut delayed) = (Instant::now(), Vec::new());
    for i in 0.. {
        let (status, took) = timed(&instance, &format!("a{i}"));
        assert_eq!(status, 200);
        assert!(took < DELAY_MAX + SLACK, "{took:?}");
        delayed.extend((took >= DELAY_MAX).then_some(took));
        if started.elapsed() > Duration::from_millis(4500) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let shortest = delayed.iter().min().expect("the first request finds the broker silent");
    assert!(*shortest < DELAY_MAX * 2, "{delayed:?}");
    let changes = log_lines::matching(&["from=mute to=one reason=silent"]);
    let given_up = changes.lines().filter(|line| line.contains("event=broker_changed")).count();
    let most = started.elapsed().as_secs() as usize / 2 + 1;
    assert!((1..=most).contains(&given_up), "given up {given_up} times, at most {most}: {changes}");
}

// Guards against a frozen broker whose connections stay open.
#[test]
fn a_broker_that_freezes_is_replaced_by_the_next_in_rank() {
    let site = Site::start(1);
    let broker = site.spawn("strong", &[], &Clock::system());
    let link = MutableLink::spawn(broker.peers()).expect("a link");
    site.list_broker("frozen", link.address());
    let instance = site.spawn("one", &[], &Clock::system());
    wait_until_leased(&instance, 3);
    assert_eq!(count_of(&broker, "granted"), 0);
    link.mute();
    let (status, took) = timed(&instance, "a");
    assert_eq!(status, 200);
    assert!(took < DELAY_MAX + SLACK, "{took:?}");
}

// Guards against a request that waits in the queue of a frozen broker until its time is over.
#[test]
fn a_queued_request_leaves_a_broker_that_freezes() {
    let site = Site::start(1);
    let broker = ScriptedBroker::spawn(queue);
    site.list_broker("queueing", broker.listener.address());
    let instance = site.single(&Clock::system());
    // On a busy machine the first replies may take longer than 60 ms, so that the request does not wait in the queue.
    eventually("a request waits in the queue until the broker does not respond to a ping", || {
        let (status, took) = timed(&instance, "a");
        assert_eq!(status, 200);
        // 60 ms until a ping, 60 ms for its reply, and the interval at which the wait is checked.
        assert!(took < DELAY_MAX * 2 + Duration::from_millis(100) + SLACK, "{took:?}");
        lock(&broker.received).contains(&ToBroker::Ping)
    });
    assert!(count_of(&instance, "granted") > 0, "by the instance itself, the next in rank");
}

// Guards against a broker that queues requests although its process is about to end.
#[test]
fn a_draining_broker_sends_requests_to_the_next() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    for draining in &fleet {
        let gateway = draining.gateway();
        gateway.drain.start(gateway.clock.now(), Duration::from_secs(8));
    }
    let holder = Holder::open(&fleet[0], Vec::new());
    assert!(!holder.acquire(1, Duration::from_secs(1)));
    for (i, instance) in fleet.iter().enumerate() {
        let (status, took) = timed(instance, &format!("a{i}"));
        assert_eq!(status, 200, "both brokers drain, so the instance decides alone");
        assert!(took < DELAY_MAX + SLACK, "{took:?}");
        assert!(count_of(instance, "alone") > 0);
    }
}

// Guards against slots that stay leased to an instance that has died, and against slots that are leased again while its
// requests still run.
#[test]
fn the_leases_of_a_lost_instance_are_released_a_quarter_of_a_second_later() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    let (lost, other) = (Holder::open(&fleet[0], Vec::new()), Holder::open(&fleet[0], Vec::new()));
    let time_left = Duration::from_secs(20);
    lost.acquire_soon(time_left);
    assert!(!other.acquire(2, time_left));
    lost.sender.shutdown();
    let ended = Instant::now();
    other.acquire_soon(time_left);
    assert!(ended.elapsed() >= Duration::from_millis(240), "{:?}", ended.elapsed());
}

// Guards against a slot that is lost with a holder that is frozen or partitioned.
#[test]
fn a_lease_that_is_not_returned_expires_at_the_deadline_of_its_request() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    let (frozen, other) =
        (Holder::open(&fleet[0], Vec::new()), Holder::open(&fleet[0], Vec::new()));
    let time_left = Duration::from_millis(500);
    let granted = Instant::now();
    frozen.acquire_soon(time_left);
    other.acquire_soon(Duration::from_secs(5));
    assert!(granted.elapsed() >= time_left, "{:?}", granted.elapsed());
}

// Guards against more than one lease of a slot by each of two brokers, and by a new broker to which the lease was
// reported.
#[test]
fn two_brokers_lease_a_slot_twice_at_most_and_a_new_one_not_at_all() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    let time_left = Duration::from_secs(10);
    let holders: Vec<Holder> = fleet.iter().map(|i| Holder::open(i, Vec::new())).collect();
    let ids: Vec<u64> = holders.iter().map(|h| h.acquire_soon(time_left)).collect();
    assert!(!holders.iter().any(|h| h.acquire(2, time_left)));
    holders[1].sender.shutdown();
    let held = |id| HeldLease {
        id: LeaseId(id),
        service: "app".parse().expect("a name"),
        server: Tag::of("s0"),
        time_left,
    };
    let reporting = Holder::open(&fleet[1], vec![held(ids[1])]);
    thread::sleep(Duration::from_millis(400));
    assert!(!reporting.acquire(4, time_left), "the lease of the ended stream was reported again");
    assert!(reporting.sender.send(&ToBroker::Release(LeaseId(ids[1]))));
    assert!(reporting.acquire(5, time_left));
    // A broker that has not granted the lease itself gets it reported.
    assert!(holders[0].sender.send(&ToBroker::Release(LeaseId(ids[0]))));
    let reporting = Holder::open(&fleet[0], vec![held(6)]);
    assert!(!reporting.acquire(7, time_left));
    assert!(reporting.sender.send(&ToBroker::Release(LeaseId(6))));
    reporting.acquire_soon(time_left);
}

// Guards against waits of callers that have left, whose slots would be granted to nobody.
#[test]
fn a_request_whose_caller_leaves_is_taken_out_of_the_queue() {
    let site = Site::start(1);
    let broker = ScriptedBroker::spawn(|message| match message {
        ToBroker::Ping => vec![FromBroker::Pong],
        message => queue(message),
    });
    site.list_broker("left", broker.listener.address());
    let instance = site.single(&Clock::system());
    let mut caller =
        cartvane::link::http1::Conn::connect(instance.callers(), SLACK, &Clock::system())
            .expect("a connection");
    caller.send(&call("/idem/", "a").bytes(), SLACK).expect("sent");
    eventually("the request waits", || !broker.acquired().is_empty());
    let id = broker.acquired()[0];
    assert!(!broker.has_released(id));
    drop(caller);
    eventually("the wait is over", || broker.has_released(id));
    assert_eq!(arrivals(&site.servers[0]), 0);
    assert_eq!(count_of(&instance, "caller-left"), 1);
}

// Guards against leases on a server that leaves: its slot is not granted, and a lease on it is not used.
#[test]
fn a_server_that_leaves_is_not_leased() {
    let site = Site::start(2);
    let fleet = site.fleet(3);
    site.store.put("servers", "s0", &entry(&site.servers[0], "draining"));
    thread::sleep(Duration::from_millis(1500));
    let before = (arrivals(&site.servers[0]), arrivals(&site.servers[1]));
    // A request is rejected if it overtakes the release of the one before at another instance.
    let served = (0..60).filter(|i| timed(&fleet[i % 3], &format!("a{i}")).0 == 200).count();
    assert!(served >= 20, "{served} of 60 requests");
    assert_eq!(arrivals(&site.servers[0]), before.0);
    assert_eq!(arrivals(&site.servers[1]), before.1 + served);
    let holder = Holder::open(&fleet[0], Vec::new());
    holder.acquire_soon(Duration::from_secs(10));
    assert!(!holder.acquire(1, Duration::from_secs(10)), "one slot is left");
}

// Guards against a lease on a server that the instance must not use, which would be requested again without an end.
#[test]
fn a_lease_on_an_unusable_server_is_returned_and_another_one_requested() {
    let site = Site::start(2);
    let broker = ScriptedBroker::spawn(|message| {
        let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
        let excluded = request.excluded.contains(&Tag::of("unknown"));
        grant(message, if excluded { "s1" } else { "unknown" })
    });
    site.list_broker("listed", broker.listener.address());
    site.store.remove("servers", "s0");
    let instance = site.single(&Clock::system());
    assert_eq!(timed(&instance, "a").0, 200);
    assert_eq!(site.servers[1].runs("a"), 1);
    assert_eq!(broker.acquired().len(), 2);
    assert!(broker.has_released(broker.acquired()[0]));
}

// Guards against a start at which each instance takes itself for the broker, or waits for one.
#[test]
fn instances_that_all_start_decide_alone_until_they_know_each_other() {
    let site = Site::start(1);
    let first = site.spawn("i0", &[], &Clock::system());
    let second = site.spawn("i1", &[&first], &Clock::system());
    for (i, instance) in [&first, &second].into_iter().enumerate() {
        let (status, took) = timed(instance, &format!("a{i}"));
        assert_eq!(status, 200);
        assert!(took < DELAY_MAX + SLACK, "{took:?}");
    }
    wait_until_leased(&first, 2);
    wait_until_leased(&second, 2);
}

// Guards against an instance that resumes from a suspension and sends a request into a slot that has been leased to
// another one meanwhile.
#[test]
fn a_lease_that_is_older_than_half_a_second_is_not_used() {
    let site = Site::start(1);
    let advancing = Arc::new(AdvancingClock::new());
    let (suspending, acquired) = (Arc::clone(&advancing), Mutex::new(0));
    let broker = ScriptedBroker::spawn(move |message| {
        let granted = grant(message, "s0");
        if !granted.is_empty() {
            *lock(&acquired) += 1;
            if *lock(&acquired) == 1 {
                suspending.advance(Duration::from_millis(600));
            }
        }
        granted
    });
    site.list_broker("granting", broker.listener.address());
    let instance = site.single(&advancing.clock);
    assert_eq!(timed(&instance, "a").0, 200);
    let leases = broker.acquired();
    assert!(leases.len() >= 2, "another lease was requested");
    assert!(broker.has_released(leases[0]));
    assert_eq!(site.servers[0].runs("a"), 1);
}

// Guards against a broker for a service that can be divided among the instances.
#[test]
fn a_service_with_as_many_slots_as_instances_has_no_broker() {
    let site = Site::start(2);
    let first = site.spawn("i0", &[], &Clock::system());
    let second = site.spawn("i1", &[&first], &Clock::system());
    wait_until_known(&first, 2);
    wait_until_known(&second, 2);
    for i in 0..20 {
        assert_eq!(timed(if i % 2 == 0 { &first } else { &second }, &format!("a{i}")).0, 200);
    }
    let text = first.gateway().metrics.text() + &second.gateway().metrics.text();
    assert!(!text.contains("cartvane_slot_leases_total"));
}

// Guards against control traffic beyond 12 KB/s of the median instance: 100 requests a second fit into it.
#[test]
fn the_messages_of_a_request_have_under_120_bytes() {
    let mut request = acquire(u64::MAX, Duration::from_nanos(1_999_999_999));
    request.request.team = Some(Tag(u32::MAX));
    request.request.wait_max = Duration::from_nanos(999_999_999);
    let id = LeaseId(u64::MAX);
    let granted =
        FromBroker::Granted { id, server: Tag(u32::MAX), waited: request.request.wait_max };
    let sizes = [
        size(&ToBroker::Acquire(request)),
        size(&FromBroker::Queued { id }),
        size(&granted),
        size(&ToBroker::Release(id)),
    ];
    assert!(sizes.iter().sum::<usize>() < 120, "{sizes:?}");
}
