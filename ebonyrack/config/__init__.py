"""The operators' configuration document: sections, checks and edits."""
