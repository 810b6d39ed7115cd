//! `cartvane gateway`: runs an instance whose settings a platform provides.

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use super::{Command, CommandError, CommandResult, Options};
use crate::{
    adapter::settings,
    context::Context,
    gateway::{GatewayHandle, log_sink},
    utils::supervisor,
};

pub(super) const COMMAND: Command = Command {
    name: "gateway",
    summary: "run one instance on a platform",
    usage: "cartvane gateway [--log-level LEVEL]

  --log-level LEVEL  off, error, warn, info (default), debug or trace

The settings come from the platform, see docs/PLATFORM.md. SIGTERM or SIGINT drains the instance
without interrupting requests; SIGHUP validates the settings again.",
    options: &["--log-level"],
    uses_operator_api: false,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let level = options.value("--log-level")?.unwrap_or(log::LevelFilter::Info);
    options.finish()?;
    // Signals are handled before anything else, so that none terminates the process by its default action.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| CommandError::Refused(format!("cannot handle signals: {e}")))?;
    let settings = settings::read(cx).map_err(|e| CommandError::Refused(e.to_string()))?;
    log_sink::start(settings.node.as_str(), level, &cx.clock)
        .map_err(|e| CommandError::Refused(e.to_string()))?;
    supervisor::log_all_panics();
    let instance = GatewayHandle::spawn(settings, &cx.clock)
        .map_err(|e| CommandError::Refused(format!("{e:#}")))?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        reload(cx, &instance);
    }
    instance.drain();
    log_sink::flush();
    // The process exits without stopping its listeners one by one, which could take longer than the platform waits
    // before it kills the process.
    std::process::exit(0)
}

/// Reads the settings again and logs whether they are valid and have changed. The instance itself keeps the settings
/// that it was started with.
fn reload(cx: &Context, instance: &GatewayHandle) {
    let current = &instance.gateway().settings;
    match settings::read(cx) {
        Ok(settings) if settings == *current => log::warn!("event=reloaded changed=false"),
        Ok(_) => log::warn!("event=reloaded changed=true in_force=next_start"),
        Err(error) => log::error!("event=reload_refused reason={:?}", error.to_string()),
    }
}
