//! Instances that have no path to the backend servers, while callers and other instances reach them.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    gateway::{Gateway, GatewayHandle},
    utils::sync::lock,
};
use standins::{
    caller::Answer,
    fault::Fault,
    links::{Cut, Links},
    listed::Listed,
    store::StoreStandIn,
};

use crate::{
    log_lines,
    routing::{picker, server},
    support::eventually,
    testbed::{call, intent, settings},
};

/// An instance and its links to the servers.
pub(crate) struct Member {
    instance: GatewayHandle,
    links: Links,
}

/// Some instances with the same store and servers.
pub(crate) struct Fleet {
    _store: StoreStandIn,
    pub(crate) servers: Vec<Listed>,
    members: Vec<Member>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Idle connections between the instances keep them for minutes, and with them their connections to servers.
        self.members.iter().for_each(|member| member.links.close());
    }
}

impl Fleet {
    pub(crate) fn start(instances: usize, servers: usize) -> Fleet {
        log_lines::start();
        let servers: Vec<Listed> =
            (0..servers).map(|i| Listed::spawn(&format!("s{i}")).expect("a server")).collect();
        let store = StoreStandIn::spawn().expect("a store");
        for server in &servers {
            store.put("servers", &server.id, &server.entry("app", "ready"));
        }
        store.put("op", "config", &intent(5));
        let mut members: Vec<Member> = Vec::new();
        for i in 0..instances {
            let seeds = members.first().map(|first| first.instance.peers()).into_iter().collect();
            let settings = settings(&format!("i{i}"), store.address(), seeds);
            let links = Links::default();
            let spawned =
                GatewayHandle::spawn_with_dialer(settings, &Clock::system(), links.dialer());
            members.push(Member { instance: spawned.expect("an instance"), links });
        }
        eventually("all are ready and know each other", || {
            members.iter().all(|member| {
                let gateway = member.instance.gateway();
                gateway.is_ready() && gateway.peers.instances() == instances
            })
        });
        Fleet { _store: store, servers, members }
    }

    /// Sends `count` requests to an instance, one after the other.
    pub(crate) fn send(
        &self,
        instance: usize,
        target: &str,
        name: &str,
        count: usize,
    ) -> Vec<Answer> {
        let callers = self.members[instance].instance.callers();
        let send = |n| call(target, &format!("{name}-{n}")).send(callers);
        (0..count).map(send).collect()
    }

    /// Returns the address of an instance for callers.
    pub(crate) fn callers(&self, instance: usize) -> SocketAddr {
        self.members[instance].instance.callers()
    }

    pub(crate) fn gateway(&self, instance: usize) -> &Gateway {
        self.members[instance].instance.gateway()
    }

    /// Returns the links of an instance to the servers.
    pub(crate) fn links(&self, instance: usize) -> &Links {
        &self.members[instance].links
    }

    /// Returns how often the servers have run a request.
    pub(crate) fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|server| server.runs(id)).sum()
    }
}

fn served(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200).count()
}

/// Guards against an instance that refuses its callers because it has no path to the servers itself.
#[test]
fn callers_of_an_instance_without_a_path_to_any_server_are_served() {
    for cut in [Cut::Hang, Cut::Reset, Cut::RefuseNew] {
        let fleet = Fleet::start(3, 4);
        fleet.send(0, "/idem/", "before", 10);
        fleet.members[0].links.sever(cut);
        // The first requests find out.
        fleet.send(0, "/idem/", "finding", 5);
        for target in ["/idem/", "/once/", "/stream/", "/stream-resumable/"] {
            let name = format!("{cut:?}{target}");
            let answers = fleet.send(0, target, &name, 20);
            assert_eq!(served(&answers), 20, "{name}{}", log_lines::matching(&[&name]));
            assert!((0..20).all(|n| fleet.runs(&format!("{name}-{n}")) == 1), "{name} run once");
        }
    }
}

/// Returns the servers that an instance would report to the others as unresponsive.
fn reported(member: &Member) -> usize {
    let gateway = member.instance.gateway();
    lock(&gateway.picker).own_unresponsive(gateway.clock.now()).len()
}

/// Returns the number of requests of an instance that crashes of servers have interrupted, as it reports them.
fn crashes(member: &Member) -> usize {
    let gateway = member.instance.gateway();
    gateway.crash_suspects.report(gateway.clock.now()).crashes.len()
}

/// Guards against sound servers that are avoided by all, and requests that are held, on the word of instances that have
/// lost their own paths.
#[test]
fn instances_without_paths_do_not_report_sound_servers() {
    for cut in [Cut::Hang, Cut::Reset, Cut::RefuseNew] {
        let fleet = Fleet::start(3, 4);
        fleet.send(0, "/idem/", "before", 10);
        let streams: Vec<_> = (0..2)
            .flat_map(|instance| (0..4).map(move |n| (instance, n)))
            .map(|(instance, n)| {
                let callers = fleet.members[instance].instance.callers();
                let stream = call("/stream/?bytes=2000", &format!("{cut:?}-{instance}-{n}"));
                thread::spawn(move || stream.send(callers).status)
            })
            .collect();
        thread::sleep(Duration::from_millis(20));
        fleet.members[..2].iter().for_each(|member| member.links.sever(cut));
        for n in 0..10 {
            for instance in 0..2 {
                fleet.send(instance, "/idem/", &format!("{cut:?}-{instance}-{n}"), 2);
            }
            for member in &fleet.members[..2] {
                assert_eq!((reported(member), crashes(member)), (0, 0), "{cut:?} in round {n}");
            }
        }
        let answers = fleet.send(2, "/once/", "in-touch", 10);
        assert_eq!(served(&answers), 10);
        streams.into_iter().for_each(|stream| drop(stream.join()));
        assert!(fleet.members.iter().all(|member| crashes(member) == 0), "{cut:?}");
    }
}

/// Guards against the word of one other instance, which may have lost its own paths a moment ago, by which a sound server
/// is reported as unresponsive.
#[test]
fn a_server_is_reported_only_once_another_one_of_its_service_was_reached() {
    let servers: Vec<_> = (0..4).map(|n| server(&format!("s{n}"), 9000 + n)).collect();
    let (mut picker, now) = (picker(&servers), Instant::now());
    let unreached = &servers[0];
    picker.note_connect_failed(now, &unreached.id);
    picker.note_unreachable(now, &unreached.id);
    picker.note_seen(&unreached.id, false);
    assert!(picker.own_unresponsive(now).is_empty(), "the own path is in doubt");
    picker.note_checked(&unreached.service, true);
    assert_eq!(picker.own_unresponsive(now), [unreached.tag()]);
}

/// Guards against requests that wait for connects while it is known that nobody reaches the servers, and against a
/// refusal that names another reason.
#[test]
fn requests_that_no_instance_can_serve_are_refused_at_once() {
    for cut in [Cut::Hang, Cut::Reset] {
        let fleet = Fleet::start(3, 4);
        fleet.members.iter().for_each(|member| member.links.sever(cut));
        eventually("all have found out", || {
            (0..3).all(|instance| {
                fleet.send(instance, "/idem/", "finding", 1);
                let gateway = fleet.members[instance].instance.gateway();
                lock(&gateway.picker).reach_counts(&"app".parse().expect("a name")).is_partitioned()
            })
        });
        for n in 0..10 {
            let began = Instant::now();
            let answer = &fleet.send(n % 3, "/once/", &format!("{cut:?}-{n}"), 1)[0];
            assert_eq!(answer.status, 503);
            assert!(answer.text().contains("neither this instance nor another one"), "the reason");
            assert!(!answer.header("retry-after").is_empty());
            assert!(began.elapsed() < Duration::from_millis(150), "{:?}", began.elapsed());
        }
        fleet.members.iter().for_each(|member| member.links.restore());
        eventually("all serve again", || {
            (0..3).all(|instance| served(&fleet.send(instance, "/idem/", "again", 2)) == 2)
        });
    }
}

/// Guards against instances that go on to use others after their own paths have returned.
#[test]
fn an_instance_whose_paths_return_uses_its_own_connections() {
    let fleet = Fleet::start(2, 3);
    fleet.members[0].links.sever(Cut::Hang);
    eventually("requests go through the other instance", || {
        fleet.send(0, "/idem/", "cut", 3);
        fleet.members[1].links.dialled() > 10
    });
    fleet.members[0].links.restore();
    let service = "app".parse().expect("a name");
    let gateway = fleet.members[0].instance.gateway();
    eventually("all servers are reached", || {
        lock(&gateway.picker).reach_counts(&service).unreached == 0
    });
    let before = fleet.members[1].links.dialled();
    assert_eq!(served(&fleet.send(0, "/idem/", "direct", 10)), 10);
    assert_eq!(fleet.members[1].links.dialled(), before);
}

/// Guards against servers that count as out of reach because a request had hardly any time left.
#[test]
fn a_connect_that_had_too_little_time_says_nothing_about_its_server() {
    let fleet = Fleet::start(2, 2);
    fleet.links(0).sever(Cut::Hang);
    let mut hurried = call("/idem/", "hurried").with("x-deadline-ms", 40);
    hurried.headers.retain(|(name, value)| name != "x-deadline-ms" || value == "40");
    assert_ne!(hurried.send(fleet.callers(0)).status, 200);
    let picker = &fleet.gateway(0).picker;
    assert_eq!(lock(picker).reach_counts(&"app".parse().expect("a name")).unreached, 0);
    fleet.send(0, "/idem/", "in-time", 3);
    assert!(lock(picker).reach_counts(&"app".parse().expect("a name")).unreached > 0);
}

/// Guards against a service of which most servers are cut off, so that the few others get all requests of the instance.
#[test]
fn an_instance_that_reaches_some_servers_uses_the_others_too() {
    let fleet = Fleet::start(2, 4);
    let spared = [fleet.servers[0].address()];
    fleet.members[0].links.sever_except(Cut::Reset, &spared);
    fleet.send(0, "/idem/", "finding", 20);
    let service = "app".parse().expect("a name");
    let gateway = fleet.members[0].instance.gateway();
    eventually("three servers are reached through the other instance", || {
        let picker = lock(&gateway.picker);
        let counts = picker.reach_counts(&service);
        let of_others = |server: &&Listed| server.address() != spared[0];
        let id = |server: &Listed| server.id.clone();
        counts.unreached == 3
            && fleet.servers.iter().filter(of_others).all(|server| {
                let listed = gateway.cluster_state.with_servers(|roster| {
                    roster.servers().find(|s| s.id.server.as_str() == id(server)).cloned()
                });
                listed.is_some_and(|listed| !picker.is_out_of_reach(&listed.id))
            })
    });
    let before: Vec<usize> = fleet.servers.iter().map(|server| server.arrivals().len()).collect();
    assert_eq!(served(&fleet.send(0, "/idem/", "spread", 80)), 80);
    for (server, before) in fleet.servers.iter().zip(before) {
        assert!(server.arrivals().len() >= before + 5, "{} is used", server.id);
    }
}

/// Guards against requests that run on at a server after their caller has left, with an instance in between.
#[test]
fn a_caller_that_leaves_ends_its_request_behind_another_instance() {
    let fleet = Fleet::start(2, 2);
    fleet.members[0].links.sever(Cut::Reset);
    fleet.send(0, "/idem/", "finding", 10);
    let slow = Fault::Late(Duration::from_millis(1500));
    fleet.servers.iter().for_each(|server| server.faults.set_standing(Some(slow)));
    let mut stream = TcpStream::connect(fleet.members[0].instance.callers()).expect("connected");
    stream.write_all(&call("/idem/", "leaving").bytes()).expect("sent");
    eventually("a server runs the request", || fleet.runs("leaving") == 1);
    let tunnels = || fleet.members[1].instance.gateway().tunnels.served();
    assert_eq!(tunnels(), 1);
    drop(stream);
    let left_at = Instant::now();
    eventually("the tunnel is closed", || tunnels() == 0);
    assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
    assert_eq!(fleet.runs("leaving"), 1);
}

/// Guards against a request that is sent twice because the instance in between ended.
#[test]
fn a_tunnel_that_breaks_leaves_the_outcome_unknown() {
    let mut fleet = Fleet::start(2, 2);
    fleet.members[0].links.sever(Cut::Reset);
    fleet.send(0, "/idem/", "finding", 10);
    let slow = Fault::Late(Duration::from_millis(800));
    fleet.servers.iter().for_each(|server| server.faults.set_standing(Some(slow)));
    let callers = fleet.members[0].instance.callers();
    let caller = thread::spawn(move || call("/once/", "broken").send(callers));
    eventually("a server runs the request", || fleet.runs("broken") == 1);
    // The other instance loses its own connections.
    fleet.members[1].links.sever(Cut::Reset);
    let answer = caller.join().expect("the caller");
    assert!([502, 504].contains(&answer.status), "{}", answer.status);
    assert_eq!(fleet.runs("broken"), 1);
    fleet.members.truncate(1);
}

/// Guards against a tunnel to a server that the instance in between knows to be leaving, or to want a pause.
#[test]
fn no_tunnel_leads_to_a_server_that_forbade_requests_to_the_instance_in_between() {
    for cut in [Cut::Hang, Cut::Reset, Cut::RefuseNew] {
        for is_leaving in [true, false] {
            let fleet = Fleet::start(3, 4);
            let server = &fleet.servers[0];
            if is_leaving {
                server.leaves();
            } else {
                server.faults.set_standing(Some(Fault::RefuseFor(Duration::from_secs(60))));
            }
            for member in 1..3 {
                let gateway = fleet.gateway(member);
                let id = gateway.cluster_state.with_servers(|roster| {
                    let listed = roster.servers().find(|s| s.id.server.as_str() == server.id);
                    listed.expect("a listed server").id.clone()
                });
                let mut sent = 0;
                let is_known = || {
                    sent += 1;
                    fleet.send(member, "/idem/", &format!("finding-{member}-{sent}"), 5);
                    lock(&gateway.picker).forbids_requests(gateway.clock.now(), &id)
                };
                eventually("the instance has the notice", is_known);
            }
            fleet.links(0).sever(cut);
            let before = server.arrivals().len();
            let name = format!("{cut:?}-{is_leaving}");
            fleet.send(0, "/idem/", &format!("{name}-finding"), 5);
            let answers = fleet.send(0, "/idem/", &name, 40);
            assert_eq!(served(&answers), 40, "{name}{}", log_lines::matching(&[&name]));
            let after = server.arrivals().len();
            assert_eq!(after, before, "{name}{}", log_lines::matching(&["tunnel", &name]));
        }
    }
}
