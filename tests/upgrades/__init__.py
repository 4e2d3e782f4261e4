"""Shows that an old and a new checkout understand each other."""
