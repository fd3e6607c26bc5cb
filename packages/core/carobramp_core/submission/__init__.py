"""Submission decisions: ids, ownership, claims and recorded answers."""
