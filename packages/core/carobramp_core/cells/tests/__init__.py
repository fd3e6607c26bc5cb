"""Tests of cells."""
