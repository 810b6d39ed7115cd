//! `[[model]]`: a model with its version and adapters, which engines load.

use serde::{Deserialize, Serialize};

use crate::{configs::reader::TableReader, names::ModelId};

/// A model that engines load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Id of the model, unique in the file.
    pub id: ModelId,
    /// Version to load.
    pub version: String,
    /// Adapters to load with the model.
    pub adapters: Vec<String>,
}

impl Model {
    /// Reads a `[[model]]` table.
    pub fn read(table: &TableReader<'_, '_>) -> Option<Model> {
        let id = table.required("id");
        let version = table.required("version");
        let adapters = table.texts("adapters");
        Some(Model { id: id?, version: version?, adapters })
    }
}
