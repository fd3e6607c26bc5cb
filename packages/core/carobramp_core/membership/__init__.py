"""Membership decisions."""
