"""Promotion of a group's new primary: its lease, participants and order."""
