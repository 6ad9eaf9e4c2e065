"""The admin interface for operators: one command line per connection, separate from callers' traffic."""
