//! Logging with `log` and `fern`: text, or one JSON object per line, on standard error.

use log::{Level, Record};

use crate::{
    clock::Clock,
    configs::settings::{LogFormat, Logging},
};

/// Installs the logger of the process.
///
/// # Errors
///
/// A logger is already installed.
pub fn init(logging: &Logging, instance: &str, clock: Clock) -> Result<(), log::SetLoggerError> {
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

/// Returns a log line as a JSON object, with the whole message under `message` and each of its `key=value` words as a
/// member of its own.
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

/// Keys whose values are numbers, in addition to those that end in `_ms`. Values of other keys stay strings, since ids
/// may look like numbers.
const NUMERIC_KEYS: [&str; 12] = [
    "status",
    "version",
    "rank",
    "load",
    "bound",
    "arrivals",
    "routes",
    "under_way",
    "count",
    "priority",
    "admitted",
    "stream",
];

/// Returns a line of `key=value` words as a JSON object. A quoted value may contain spaces. Words that are no pair are
/// joined under `message`.
pub fn event_line(at: &str, instance: &str, level: Level, message: &str) -> String {
    let mut object = serde_json::Map::new();
    object.insert("at".to_owned(), at.into());
    object.insert("level".to_owned(), level_name(level).into());
    object.insert("instance".to_owned(), instance.into());
    let mut remaining = message.trim();
    let mut words = Vec::new();
    while !remaining.is_empty() {
        let (word, after) = split_word(remaining);
        remaining = after.trim_start();
        match word.split_once('=') {
            Some((key, value)) if is_key(key) => {
                object.insert(key.to_owned(), parse_value(key, value));
            }
            _ => words.push(word),
        }
    }
    if !words.is_empty() {
        object.insert("message".to_owned(), words.join(" ").into());
    }
    serde_json::Value::Object(object).to_string()
}

/// Splits `text` after its first word; spaces inside quotes are part of the word.
fn split_word(text: &str) -> (&str, &str) {
    let (mut quoted, mut escaped) = (false, false);
    for (at, c) in text.char_indices() {
        match c {
            ' ' if !quoted => return text.split_at(at),
            '"' if !escaped => quoted = !quoted,
            _ => {}
        }
        escaped = c == '\\' && !escaped;
    }
    (text, "")
}

fn is_key(key: &str) -> bool {
    !key.is_empty() && key.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
}

fn parse_value(key: &str, text: &str) -> serde_json::Value {
    let is_number = key.ends_with("_ms") || NUMERIC_KEYS.contains(&key);
    match serde_json::from_str(text) {
        Ok(value @ serde_json::Value::Number(_)) if is_number => value,
        Ok(value @ serde_json::Value::String(_)) => value,
        _ => text.trim_matches('"').into(),
    }
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
