//! A router process of a fleet.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use cartvane::platform::{Member, MemberKind, MemberState};
use rustix::process::{Pid, Signal, kill_process};

use super::{LOOK_PERIOD, OPERATOR_CREDENTIAL, READER_CREDENTIAL};

/// Credential among routers.
const PEER_CREDENTIAL: &str = "peers-on-loopback-0001";

/// Numbers settings files of this process.
static FILES: AtomicU32 = AtomicU32::new(0);

/// A router process.
pub struct Router {
    /// Id.
    pub id: String,
    /// Zone.
    pub zone: String,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Peers' address.
    pub peers: SocketAddr,
    /// Operators' address.
    pub operators: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Router {
    /// Starts a router process and waits for its addresses.
    ///
    /// # Errors
    ///
    /// The process cannot be started or ends at once.
    pub fn spawn(
        binary: &Path,
        id: &str,
        zone: &str,
        platform: SocketAddr,
        seeds: &[SocketAddr],
        lines: &str,
    ) -> anyhow::Result<Router> {
        let number = FILES.fetch_add(1, Ordering::SeqCst);
        let settings =
            std::env::temp_dir().join(format!("cartvane-{}-{number}.toml", std::process::id()));
        fs::write(&settings, settings_text(id, zone, platform, seeds, lines))?;
        let mut child = Command::new(binary)
            .arg("router")
            .arg("--settings")
            .arg(&settings)
            .env("FLEET_PEERS", PEER_CREDENTIAL)
            .env("FLEET_OPERATORS", OPERATOR_CREDENTIAL)
            .env("FLEET_READERS", READER_CREDENTIAL)
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        let stdout = child.stdout.take().context("the router has no output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = |name: &str| -> anyhow::Result<SocketAddr> {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            Ok(word.with_context(|| format!("router {id} said {line:?}"))?.parse()?)
        };
        Ok(Router {
            id: id.to_owned(),
            zone: zone.to_owned(),
            callers: address("callers=")?,
            peers: address("peers=")?,
            operators: address("operators=")?,
            child,
            settings,
        })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // A process that has ended gets no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself; `None` when it does not in time.
    pub fn wait(&mut self, most: Duration) -> Option<i32> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(LOOK_PERIOD);
        }
        None
    }

    /// Returns the router's entry for the membership list.
    ///
    /// # Errors
    ///
    /// Its zone is no zone id.
    pub fn member(&self, state: MemberState) -> anyhow::Result<Member> {
        let (id, zone) = (self.id.clone(), self.zone.parse()?);
        Ok(Member { id, kind: MemberKind::Instance, address: self.peers, zone, state })
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

fn settings_text(
    id: &str,
    zone: &str,
    platform: SocketAddr,
    seeds: &[SocketAddr],
    lines: &str,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(", ");
    format!(
        r#"id = "{id}"
region = "loopback"
zone = "{zone}"

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
seeds = [{seeds}]

[platform]
table = "{platform}"
objects = "{platform}"
members = "{platform}"

[credentials]
peers = ["env:FLEET_PEERS"]
operators = ["env:FLEET_OPERATORS"]

{lines}
"#
    )
}
