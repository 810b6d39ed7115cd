//! `cartvane router`: runs an instance until a signal or an operator drains it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::{Command, CommandError, CommandResult, Options, options::read_file};
use crate::{
    configs::settings::{self, Settings},
    context::Context,
    instance::Instance,
    logging,
    utils::supervisor,
};

pub(super) const COMMAND: Command = Command {
    name: "router",
    summary: "run one instance",
    usage: "cartvane router --settings FILE [--set KEY=VALUE]...

  --settings FILE    the instance's settings, see docs/SETTINGS.md
  --set KEY=VALUE    override one setting, such as --set logging.level=debug

SIGTERM or SIGINT drains the instance without interrupting requests; a second signal stops it at once.",
    options: &["--settings", "--set"],
    uses_operator_api: false,
    run,
};

/// Interval at which the process checks for signals and for a drain that an operator started.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let path: Option<String> = options.value("--settings")?;
    let overrides = options.values("--set")?;
    options.finish()?;
    let path = path.ok_or_else(|| CommandError::Usage("--settings FILE is missing".to_owned()))?;
    let mut text = read_file(&path)?;
    for pair in overrides {
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| CommandError::Usage(format!("--set {pair:?}: write KEY=VALUE")))?;
        text = settings::set(&text, key, value).map_err(|e| CommandError::Usage(e.to_string()))?;
    }
    let settings = Settings::parse(&text, cx)
        .map_err(|errors| CommandError::Refused(format!("{path} is invalid:\n{errors}")))?;
    let started = logging::init(&settings.logging, settings.id.as_str(), cx.clock.clone());
    started.map_err(|e| CommandError::Refused(e.to_string()))?;
    supervisor::log_all_panics();
    serve(settings, cx)
}

fn serve(settings: Settings, cx: &Context) -> CommandResult {
    let signals = count_signals()
        .map_err(|e| CommandError::Refused(format!("cannot handle signals: {e}")))?;
    let instance =
        Instance::spawn(settings, cx).map_err(|e| CommandError::Refused(format!("{e:#}")))?;
    println!(
        "ready callers={} peers={} operators={}",
        instance.callers(),
        instance.peers(),
        instance.operators()
    );
    while signals.load(Ordering::SeqCst) == 0 && !instance.is_draining() {
        thread::sleep(POLL_INTERVAL);
    }
    let seen = signals.load(Ordering::SeqCst).max(1);
    instance.drain();
    log::info!("draining");
    let all_finished = instance.finish(|| signals.load(Ordering::SeqCst) > seen);
    log::info!("stopped; all requests finished: {all_finished}");
    if all_finished {
        Ok(())
    } else {
        Err(CommandError::Refused("stopped before all requests had finished".to_owned()))
    }
}

/// Returns a counter of the SIGTERM and SIGINT signals received.
fn count_signals() -> std::io::Result<Arc<AtomicUsize>> {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            counter.fetch_add(1, Ordering::SeqCst);
        }
    })?;
    Ok(count)
}
