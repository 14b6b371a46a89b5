"""Decides whether an offered task can run as a process at all. Pure: no I/O.

The node decides whether the machine has capacity for it.
"""

from __future__ import annotations

from kelpfront.agent.task_folder import folder_name
from kelpfront.machine.messages import Offer


def rejection_reason(offer: Offer) -> str:
    """Return why an offered task cannot run as a process, or an empty text if it can."""
    if offer.run is None:
        return "the job names no command, and this machine runs nothing else"
    if not offer.run.argv or not offer.run.argv[0]:
        return "the command is empty"
    try:
        folder_name(offer.task, offer.attempt)
    except ValueError as error:
        return str(error)
    return ""
