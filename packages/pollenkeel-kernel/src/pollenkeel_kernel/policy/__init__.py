"""Base classes and registries of the policy plug-ins."""
