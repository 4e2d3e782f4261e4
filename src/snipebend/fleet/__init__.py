"""The declarative fleet file: model, parsing, validation and differences."""
