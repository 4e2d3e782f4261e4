"""The command line for operators, with one module per command."""
