//! Instances that have no path to the backend servers, while callers and other instances reach them.

use std::time::Duration;

use cartvane::{clock::Clock, gateway::GatewayHandle};
use standins::{
    caller::Answer,
    links::{Cut, Links},
    listed::Listed,
    store::StoreStandIn,
};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, settings},
};

/// An instance and its links to the servers.
struct Member {
    instance: GatewayHandle,
    links: Links,
}

/// Some instances with the same store and servers.
struct Fleet {
    _store: StoreStandIn,
    servers: Vec<Listed>,
    members: Vec<Member>,
}

impl Fleet {
    fn start(instances: usize, servers: usize) -> Fleet {
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
    fn send(&self, instance: usize, target: &str, name: &str, count: usize) -> Vec<Answer> {
        let callers = self.members[instance].instance.callers();
        let send = |n| call(target, &format!("{name}-{n}")).send(callers);
        (0..count).map(send).collect()
    }

    fn runs(&self, id: &str) -> u32 {
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
