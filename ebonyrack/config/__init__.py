"""The operators' document: sections, checks and edits."""
