//! `cartvane gateway`: runs an instance on a platform that provides its settings.

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use super::{Command, CommandError, CommandResult, Options};
use crate::{
    adapter::settings,
    context::Context,
    gateway::{GatewayHandle, log_sink},
};

pub(super) const COMMAND: Command = Command {
    name: "gateway",
    summary: "run one instance on a platform",
    usage: "cartvane gateway [--log-level LEVEL]

  --log-level LEVEL  off, error, warn, info (as usual), debug or trace

The settings come from the platform, see docs/PLATFORM.md. SIGTERM or SIGINT drains: no request
is cut; SIGHUP checks the settings again.",
    options: &["--log-level"],
    uses_operator_api: false,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let level = options.value("--log-level")?.unwrap_or(log::LevelFilter::Info);
    options.finish()?;
    // Signals are taken over before anything else, so that none ends the process by default.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| CommandError::Refused(format!("cannot watch signals: {e}")))?;
    let settings = settings::read(cx).map_err(|e| CommandError::Refused(e.to_string()))?;
    log_sink::start(settings.node.as_str(), level, &cx.clock)
        .map_err(|e| CommandError::Refused(e.to_string()))?;
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
    // Stopping the listeners one by one could take longer than the kill lets it.
    std::process::exit(0)
}

/// Reads the settings again; faulty ones change nothing.
fn reload(cx: &Context, instance: &GatewayHandle) {
    let current = &instance.gateway().settings;
    match settings::read(cx) {
        Ok(settings) if settings == *current => log::warn!("event=reloaded changed=false"),
        Ok(_) => log::warn!("event=reloaded changed=true in_force=next_start"),
        Err(error) => log::error!("event=reload_refused reason={:?}", error.to_string()),
    }
}
