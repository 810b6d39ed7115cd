//! Reads TOML tables and collects every fault with its line and column.

use std::{cell::RefCell, fmt, net::SocketAddr, ops::Range, str::FromStr};

use serde::{Deserialize, Serialize};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::utils::nearest::nearest;

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Key path such as `service[1].deadline`; empty for the file as a whole.
    pub path: String,
    /// What is wrong and what to do about it.
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

/// Every fault of one file.
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

/// The file being read and the faults found so far.
pub struct Reader<'a> {
    text: &'a str,
    errors: RefCell<Vec<ConfigError>>,
}

impl<'a> Reader<'a> {
    /// Returns a reader of `text`.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, errors: RefCell::default() }
    }

    /// Parses the text as TOML; a text that is not TOML is a fault and yields `None`.
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

    /// Adds a fault at `span`.
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

    /// Returns `value` when nothing was wrong, else every fault in the order of the file.
    pub fn finish<T>(self, value: T) -> Result<T, ConfigErrors> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|f| (f.line, f.column));
        if errors.is_empty() { Ok(value) } else { Err(ConfigErrors(errors)) }
    }
}

/// An address with a port, as files state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Address(pub SocketAddr);

/// Why a text is not an address.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not an address; write an IP number and a port, such as \"10.0.0.1:8000\"")]
pub struct AddressError(String);

impl FromStr for Address {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Address, AddressError> {
        text.parse().map(Address).map_err(|_| AddressError(text.to_owned()))
    }
}

/// One TOML table being read; unknown keys are faults when it is dropped by [`TableReader::finish`].
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

    /// Adds a fault at the value of `key`, or at the table when the key is absent.
    pub fn add_error(&self, key: &str, message: impl Into<String>) {
        let span = self.table.get(key).map_or(self.span.clone(), Spanned::span);
        self.reader.add_error(span, self.key_path(key), message);
    }

    fn wrong_type(&self, key: &str, expected: &str, found: &DeValue<'_>) {
        self.add_error(key, format!("is {} where {expected} is needed", found.type_str()));
    }

    /// Reads a text and parses it; absent is `None`, unreadable is a fault and `None`.
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

    /// Reads a text that must be there.
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

    /// Reads an address with a port; absent is `None`.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        self.text::<Address>(key).map(|address| address.0)
    }

    /// Reads an address with a port that must be there.
    pub fn required_address(&self, key: &'static str) -> Option<SocketAddr> {
        self.required::<Address>(key).map(|address| address.0)
    }

    /// Returns whether `key` is absent or an empty list.
    pub fn is_empty_list(&self, key: &str) -> bool {
        let list = self.table.get(key).and_then(|value| value.get_ref().as_array());
        list.is_some_and(|list| list.is_empty()) || self.table.get(key).is_none()
    }

    /// Reads a whole number between `min` and `max`.
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

    /// Reads a number between `min` and `max`.
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

    /// Reads `true` or `false`.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let value = self.value(key)?.get_ref();
        let flag = value.as_bool();
        if flag.is_none() {
            self.wrong_type(key, "true or false", value);
        }
        flag
    }

    /// Reads one of a closed set of words.
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

    /// Reads one of a closed set of words that must be there.
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

    /// Reads a list of texts, each parsed.
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

    /// Reads a table; absent is `None`.
    pub fn table(&self, key: &'static str) -> Option<TableReader<'r, 'a>> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong_type(key, "a table", value.get_ref());
            return None;
        };
        Some(self.child(table, value.span(), self.key_path(key)))
    }

    /// Reads a list of tables.
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

    /// Ends the reading of this table: keys that nothing asked for are faults.
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
