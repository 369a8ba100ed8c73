"""The data model of a scenario and the reader of scenario files."""

from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import ScenarioError, read_scenario, shipped

__all__ = ["Scenario", "ScenarioError", "read_scenario", "shipped"]
