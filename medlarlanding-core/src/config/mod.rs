//! Configuration tree: parsing, validation and inheritance.
