"""Errors of the node agent."""

from __future__ import annotations


class AgentError(Exception):
    """The agent cannot start; the text states the cause for the operator."""
