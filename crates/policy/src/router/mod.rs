//! To be filled by its stage.
