"""Earlier names of the simulation's classes, for the modules that import them from here."""

from maplestile.tools.explore.connections import Link
from maplestile.tools.explore.connections import SimulatedPool as Yard
from maplestile.tools.explore.scenario import START
from maplestile.tools.explore.simulation import Components as Parts
from maplestile.tools.explore.simulation import Simulation as World

__all__ = ["START", "Link", "Parts", "World", "Yard"]
