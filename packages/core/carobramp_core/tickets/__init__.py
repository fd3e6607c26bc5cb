"""Tickets decisions."""
