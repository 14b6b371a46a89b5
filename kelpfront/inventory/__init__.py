"""The inventory: the machines of a cluster, read from the CSV or YAML files of configuration tools.

A file is read completely or rejected as a whole, with all its problems in one error. Callers decide what to
do with the hosts.
"""

from kelpfront.inventory.builder import KindSize
from kelpfront.inventory.model import Host, Inventory, InventoryError, Problem
from kelpfront.inventory.read import read_inventory

__all__ = ["Host", "Inventory", "InventoryError", "KindSize", "Problem", "read_inventory"]
