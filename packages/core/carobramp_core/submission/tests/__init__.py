"""Tests of submission."""
