//! Logs by `log` and `fern`: text or one JSON object a line, on standard error.

use log::{Level, Record};

use crate::{
    clock::Clock,
    configs::settings::{LogFormat, Logging},
};

/// Starts logging for the process.
///
/// # Errors
///
/// Logging has been started before.
pub fn start(logging: &Logging, instance: &str, clock: Clock) -> Result<(), log::SetLoggerError> {
    let format = logging.format;
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(logging.level)
        .format(move |out, message, record| {
            let at = humantime::format_rfc3339_millis(clock.wall());
            match format {
                LogFormat::Text => out.finish(format_args!("{at} {:5} {message}", record.level())),
                LogFormat::Json => {
                    out.finish(format_args!(
                        "{}",
                        json_line(&at.to_string(), &instance, record, &message.to_string())
                    ));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
}

/// Returns one log line as a JSON object; `key=value` words of the message become members.
pub fn json_line(at: &str, instance: &str, record: &Record<'_>, message: &str) -> String {
    let mut object = serde_json::Map::new();
    object.insert("at".to_owned(), at.into());
    object.insert("level".to_owned(), level_name(record.level()).into());
    object.insert("instance".to_owned(), instance.into());
    object.insert("message".to_owned(), message.into());
    for word in message.split(' ') {
        if let Some((key, value)) = word.split_once('=')
            && key.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
            && !key.is_empty()
        {
            object.insert(key.to_owned(), value.into());
        }
    }
    serde_json::Value::Object(object).to_string()
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
