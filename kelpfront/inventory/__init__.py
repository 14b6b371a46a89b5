"""The inventory: which machines there are, read from CSV or YAML as configuration tools write them."""

from kelpfront.inventory.build import KindSize
from kelpfront.inventory.model import Host, Inventory, InventoryError, Problem
from kelpfront.inventory.read import read_inventory

__all__ = ["Host", "Inventory", "InventoryError", "KindSize", "Problem", "read_inventory"]
