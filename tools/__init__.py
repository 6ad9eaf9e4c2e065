"""Tools of the repository itself; no part of the package."""
