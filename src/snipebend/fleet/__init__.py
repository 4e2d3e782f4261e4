"""The declarative fleet file: model, parsing, checks, differences."""
