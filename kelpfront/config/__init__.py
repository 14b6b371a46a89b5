"""Settings in INI: read, checked before use, and explained."""

from kelpfront.config.build import build_cluster, build_levels
from kelpfront.config.model import Config
from kelpfront.config.reader import ConfigError, ConfigProblem, example, read_config

__all__ = [
    "Config",
    "ConfigError",
    "ConfigProblem",
    "build_cluster",
    "build_levels",
    "example",
    "read_config",
]
