"""The REST API; it follows the public conventions of the Kubernetes API."""

from kelpfront.fronts.rest.environment import Health, RestEnvironment
from kelpfront.fronts.rest.front import RestFront
from kelpfront.fronts.rest.responses import error_body
from kelpfront.fronts.rest.watch import WatchTiming

__all__ = ["Health", "RestEnvironment", "RestFront", "WatchTiming", "error_body"]
