"""Tests of the model specifications."""
