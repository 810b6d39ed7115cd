//! Log level and form.

use log::LevelFilter;

use crate::configs::reader::TableReader;

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Logs of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logging {
    /// Least severe level written.
    pub level: LevelFilter,
    /// Form.
    pub format: LogFormat,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { level: LevelFilter::Info, format: LogFormat::Text }
    }
}

const LEVELS: [(&str, LevelFilter); 6] = [
    ("off", LevelFilter::Off),
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

impl Logging {
    /// Reads `[logging]`.
    pub fn read(root: &TableReader<'_, '_>) -> Logging {
        let mut logging = Logging::default();
        let Some(table) = root.table("logging") else { return logging };
        logging.level = table.choice("level", &LEVELS).unwrap_or(logging.level);
        logging.format = table.choice("format", &FORMATS).unwrap_or(logging.format);
        table.finish();
        logging
    }
}
