"""The settings of placers and node agents: reads and checks INI files, and prints commented examples.

An invalid file is rejected as a whole, and all its problems are reported at once. The packages that use the
settings define their effect.
"""

from kelpfront.config.build import build_cluster, build_levels
from kelpfront.config.model import Config
from kelpfront.config.placer_example import placer_example
from kelpfront.config.problems import ConfigError, ConfigProblem
from kelpfront.config.reader import read_config

__all__ = [
    "Config",
    "ConfigError",
    "ConfigProblem",
    "build_cluster",
    "build_levels",
    "placer_example",
    "read_config",
]
