"""Why an agent cannot start."""

from __future__ import annotations


class AgentError(Exception):
    """An agent cannot start; the text tells its operator why."""
