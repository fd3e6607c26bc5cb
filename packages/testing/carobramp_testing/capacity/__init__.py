"""Measured slopes and the figures of docs/CAPACITY.md that follow from them."""

from carobramp_testing.capacity.figures import Figure, figures
from carobramp_testing.capacity.size import DESIGN_SIZE, DesignSize
from carobramp_testing.capacity.slopes import SLOPES, Slope

__all__ = ["DESIGN_SIZE", "SLOPES", "DesignSize", "Figure", "Slope", "figures"]
