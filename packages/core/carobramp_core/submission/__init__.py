"""Submission decisions."""
