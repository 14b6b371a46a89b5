"""The settings of placers and node agents: INI files that are read, checked before use, and explained.

A file is read completely or not at all, and all that is wrong with it is reported at once. What the settings
do is left to the packages that they are built for.
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
