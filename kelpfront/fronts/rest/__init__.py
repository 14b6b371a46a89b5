"""The REST front: list and watch by the public Kubernetes API conventions."""

from kelpfront.fronts.rest.front import Health, RestFront, error_body
from kelpfront.fronts.rest.watching import WatchTimes

__all__ = ["Health", "RestFront", "WatchTimes", "error_body"]
