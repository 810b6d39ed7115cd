//! Reads TOML tables and collects all errors with their positions, so that one run reports every error of a file.

use std::{cell::RefCell, fmt, net::SocketAddr, ops::Range, str::FromStr};

use serde::{Deserialize, Serialize};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::utils::nearest::nearest;

/// An error in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Key path such as `service[1].deadline`; empty for an error of the whole file.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All errors of one file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

/// Text of a configuration file and the errors found so far.
pub struct Reader<'a> {
    text: &'a str,
    errors: RefCell<Vec<ConfigError>>,
}

impl<'a> Reader<'a> {
    /// Returns a reader of `text`.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, errors: RefCell::default() }
    }

    /// Parses the text as TOML; if that fails, records an error and returns `None`.
    pub fn parse(&self) -> Option<Spanned<DeTable<'a>>> {
        match DeTable::parse(self.text) {
            Ok(table) => Some(table),
            Err(e) => {
                let message = format!("not TOML: {}", e.message().trim_end());
                self.add_error(e.span().unwrap_or(0..0), String::new(), message);
                None
            }
        }
    }

    /// Records an error at the start of `span`, a range of bytes.
    pub fn add_error(&self, span: Range<usize>, path: String, message: impl Into<String>) {
        let mut start = span.start.min(self.text.len());
        while !self.text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &self.text[..start];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[line_start..].chars().count() + 1;
        self.errors.borrow_mut().push(ConfigError { line, column, path, message: message.into() });
    }

    /// Returns `value` if there were no errors.
    ///
    /// # Errors
    ///
    /// All recorded errors, sorted by their position in the file.
    pub fn finish<T>(self, value: T) -> Result<T, ConfigErrors> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|f| (f.line, f.column));
        if errors.is_empty() { Ok(value) } else { Err(ConfigErrors(errors)) }
    }
}

/// IP address and port, as written in a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Address(pub SocketAddr);

/// Error for a string that is not an IP address with a port.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not an address; write an IP number and a port, such as \"10.0.0.1:8000\"")]
pub struct AddressError(String);

impl FromStr for Address {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Address, AddressError> {
        text.parse().map(Address).map_err(|_| AddressError(text.to_owned()))
    }
}

/// Reader of one TOML table. It remembers which keys were read; [`TableReader::finish`] reports all others as unknown.
pub struct TableReader<'r, 'a> {
    reader: &'r Reader<'a>,
    table: &'r DeTable<'a>,
    span: Range<usize>,
    path: String,
    known: RefCell<Vec<&'static str>>,
}

impl<'r, 'a> TableReader<'r, 'a> {
    /// Returns a reader of the root table.
    pub fn root(reader: &'r Reader<'a>, table: &'r Spanned<DeTable<'a>>) -> Self {
        let known = RefCell::default();
        TableReader {
            reader,
            table: table.get_ref(),
            span: table.span(),
            path: String::new(),
            known,
        }
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn value(&self, key: &'static str) -> Option<&'r Spanned<DeValue<'a>>> {
        self.known.borrow_mut().push(key);
        self.table.get(key)
    }

    /// Records an error at the value of `key`, or at the table if the key is absent.
    pub fn add_error(&self, key: &str, message: impl Into<String>) {
        let span = self.table.get(key).map_or(self.span.clone(), Spanned::span);
        self.reader.add_error(span, self.key_path(key), message);
    }

    fn wrong_type(&self, key: &str, expected: &str, found: &DeValue<'_>) {
        self.add_error(key, format!("is {} where {expected} is needed", found.type_str()));
    }

    /// Reads and parses a string. Returns `None` if the key is absent, and also if parsing fails, which is recorded as
    /// an error.
    pub fn text<T>(&self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.value(key)?.get_ref();
        let Some(text) = value.as_str() else {
            self.wrong_type(key, "a text in quotes", value);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.add_error(key, e.to_string());
                None
            }
        }
    }

    /// Reads and parses a string; an absent key is an error.
    pub fn required<T>(&self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if self.table.get(key).is_none() {
            self.add_error(key, "is missing; add it");
        }
        self.text(key)
    }

    /// Reads an optional address with a port.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        self.text::<Address>(key).map(|address| address.0)
    }

    /// Reads an address with a port; an absent key is an error.
    pub fn required_address(&self, key: &'static str) -> Option<SocketAddr> {
        self.required::<Address>(key).map(|address| address.0)
    }

    /// Returns whether `key` is absent or an empty list.
    pub fn is_empty_list(&self, key: &str) -> bool {
        let list = self.table.get(key).and_then(|value| value.get_ref().as_array());
        list.is_some_and(|list| list.is_empty()) || self.table.get(key).is_none()
    }

    /// Reads an integer from `min` to `max`.
    pub fn integer(&self, key: &'static str, min: u64, max: u64) -> Option<u64> {
        let value = self.value(key)?.get_ref();
        let number =
            value.as_integer().and_then(|n| u64::from_str_radix(n.as_str(), n.radix()).ok());
        match number {
            Some(n) if (min..=max).contains(&n) => Some(n),
            _ => {
                self.add_error(key, format!("needs a whole number from {min} to {max}"));
                None
            }
        }
    }

    /// Reads a number, integer or float, from `min` to `max`.
    pub fn number(&self, key: &'static str, min: f64, max: f64) -> Option<f64> {
        let value = self.value(key)?.get_ref();
        let text = match value {
            DeValue::Float(n) => n.as_str(),
            DeValue::Integer(n) => n.as_str(),
            _ => "",
        };
        match text.parse::<f64>() {
            Ok(n) if (min..=max).contains(&n) => Some(n),
            _ => {
                self.add_error(key, format!("needs a number from {min} to {max}"));
                None
            }
        }
    }

    /// Reads a boolean.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let value = self.value(key)?.get_ref();
        let flag = value.as_bool();
        if flag.is_none() {
            self.wrong_type(key, "true or false", value);
        }
        flag
    }

    /// Reads a string that must be one of `choices`.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&'static str, T)]) -> Option<T> {
        let value = self.value(key)?.get_ref();
        let word = value.as_str().unwrap_or_default();
        if let Some((_, choice)) = choices.iter().find(|(name, _)| *name == word) {
            return Some(*choice);
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let hint = nearest(word, names.iter().copied());
        let hint = hint.map_or(String::new(), |name| format!("; did you mean {name:?}?"));
        self.add_error(key, format!("{word:?} is not one of {}{hint}", names.join(", ")));
        None
    }

    /// Reads a string that must be one of `choices`; an absent key is an error.
    pub fn required_choice<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&'static str, T)],
    ) -> Option<T> {
        if self.table.get(key).is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            self.add_error(key, format!("is missing; add one of {}", names.join(", ")));
        }
        self.choice(key, choices)
    }

    /// Reads a list of strings and parses each; elements that cannot be parsed are recorded as errors and left out.
    pub fn texts<T>(&self, key: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(list) = value.get_ref().as_array() else {
            self.wrong_type(key, "a list of texts", value.get_ref());
            return Vec::new();
        };
        let mut texts = Vec::new();
        for (i, item) in list.iter().enumerate() {
            let path = format!("{}[{i}]", self.key_path(key));
            match item.get_ref().as_str().map(str::parse::<T>) {
                Some(Ok(text)) => texts.push(text),
                Some(Err(e)) => self.reader.add_error(item.span(), path, e.to_string()),
                None => self.reader.add_error(item.span(), path, "needs to be a text in quotes"),
            }
        }
        texts
    }

    /// Returns a reader of an optional sub-table.
    pub fn table(&self, key: &'static str) -> Option<TableReader<'r, 'a>> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong_type(key, "a table", value.get_ref());
            return None;
        };
        Some(self.child(table, value.span(), self.key_path(key)))
    }

    /// Returns readers of the tables in an array of tables.
    pub fn tables(&self, key: &'static str) -> Vec<TableReader<'r, 'a>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(list) = value.get_ref().as_array() else {
            self.wrong_type(key, "a list of tables", value.get_ref());
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (i, item) in list.iter().enumerate() {
            let path = format!("{}[{i}]", self.key_path(key));
            match item.get_ref().as_table() {
                Some(table) => tables.push(self.child(table, item.span(), path)),
                None => self.reader.add_error(item.span(), path, "needs to be a table"),
            }
        }
        tables
    }

    fn child(
        &self,
        table: &'r DeTable<'a>,
        span: Range<usize>,
        path: String,
    ) -> TableReader<'r, 'a> {
        TableReader { reader: self.reader, table, span, path, known: RefCell::default() }
    }

    /// Records an error for each key of the table that was not read.
    pub fn finish(self) {
        let known = self.known.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if known.contains(&name) {
                continue;
            }
            let hint = match nearest(name, known.iter().copied()) {
                Some(near) => format!("; did you mean {near:?}?"),
                None => format!("; known here: {}", known.join(", ")),
            };
            self.reader.add_error(key.span(), self.key_path(name), format!("unknown key{hint}"));
        }
    }
}
