"""The operators' document: schema, parser, edits and immutable snapshots."""
