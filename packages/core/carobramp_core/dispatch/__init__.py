"""Dispatch decisions."""
