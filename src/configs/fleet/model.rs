//! A model, its version and adapters, that engines are to hold.

use serde::{Deserialize, Serialize};

use crate::{configs::reader::TableReader, names::ModelId};

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Id.
    pub id: ModelId,
    /// Version in force.
    pub version: String,
    /// Adapters to load beside it.
    pub adapters: Vec<String>,
}

impl Model {
    /// Reads one `[[model]]`.
    pub fn read(table: &TableReader<'_, '_>) -> Option<Model> {
        let id = table.required("id");
        let version = table.required("version");
        let adapters = table.texts("adapters");
        Some(Model { id: id?, version: version?, adapters })
    }
}
