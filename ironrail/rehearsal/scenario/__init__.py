"""What is rehearsed: a scenario's form, and how it is read from its file."""

from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import ScenarioError, read_scenario, shipped

__all__ = ["Scenario", "ScenarioError", "read_scenario", "shipped"]
