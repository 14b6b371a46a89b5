"""The inventory: which machines there are, read from CSV or YAML as configuration tools write them.

A file is read completely or not at all, and all that is wrong with it is reported at once. What becomes of
the hosts is left to the callers.
"""

from kelpfront.inventory.builder import KindSize
from kelpfront.inventory.model import Host, Inventory, InventoryError, Problem
from kelpfront.inventory.read import read_inventory

__all__ = ["Host", "Inventory", "InventoryError", "KindSize", "Problem", "read_inventory"]
